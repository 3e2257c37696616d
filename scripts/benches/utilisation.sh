# Slot utilisation while requests are queued, with the whole load at one of five
# routers and targets in four data centres.
source scripts/lib.sh

example_sheet examples/klang-valley
max_queued=200 start_fleet klang-valley \
  shah-alam-1:shah-alam:control petaling-1:petaling:control \
  cheras-1:cheras:control putrajaya-1:putrajaya:control shah-alam-2:shah-alam:
start_example_targets examples/klang-valley 10000
sleep 6

hosts=$(IFS=,; echo "${fleet_callers[*]}")
"$load" --hosts "$hosts" --model lamp-llm --seconds 22 --max-tokens 20 \
  --customer keretapi-utara:keretapi-utara-key:300:4 \
  --customer depot-gemas:depot-gemas-key:60:4 >"$work_dir/utilisation.json" &
load_pid=$!
sleep 10
# Output tokens as counted by the engines, over 10 s with 36 slots.
busy=0
samples=0
engines=()
for i in 1 2 3 4 5 6 7 8 9; do
  engines+=("$(wait_for_output "lamp-llm-$i")")
done
tokens() {
  local sum=0 engine
  for engine in "${engines[@]}"; do
    sum=$((sum + $(curl -s "http://$engine/stand-in/statistics" |
      jq .output_tokens)))
  done
  echo "$sum"
}
begin_tokens=$(tokens)
begin=$(date +%s.%N)
sleep 10
end_tokens=$(tokens)
end=$(date +%s.%N)
wait "$load_pid"
# A slot yields at most one token per engine step. The actual rate per slot is
# measured at an engine whose slots are all in use.
for i in 1 2 3 4; do
  "$load" --hosts "${engines[0]}" --model lamp-llm --seconds 3 --max-tokens 20 \
    --concurrency 4 --customer direct:none:1 --seed "$i" >"$work_dir/direct-$i.json"
done
per_slot=$(jq -s 'map(.all.tokens / 3 / 4) | add / length' "$work_dir"/direct-*.json)
emit utilisation busy_share \
  "$(evaluate "($end_tokens - $begin_tokens) / ($end - $begin) / 36 / $per_slot")" \
  share at-least 0.97
