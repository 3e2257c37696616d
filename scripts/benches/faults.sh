# Responses to callers while targets hang, reset connections, mix up responses,
# crash and stop responding; then a graceful shutdown under load.
source scripts/lib.sh

write_sheet large:4 middle:2 small:1
write_settings router a '
[timeouts]
first_token_ms = 1000
between_tokens_ms = 1000
whole_answer_ms = 3000
service_answer_ms = 1000
target_silence_ms = 3000'
start_daemon router "$work_dir/router.toml"
all_faults=hang,reset,cross,cross_late,stall,error,not_admitted
journals=()
for i in 1 2 3 4 5; do
  start "engine-$i" "$engine" --name "engine-$i" --data-centre a \
    --entry-hosts "$callers" --token "$target_token" --cold-ms 500 \
    --step-us 5000 --faults "$all_faults" --fault-period $((18 + i)) \
    --journal "$work_dir/engine-$i.journal"
  journals+=(--journal "$work_dir/engine-$i.journal")
done
for i in 1 2 3; do
  start "service-$i" "$service" --name "service-$i" --data-centre a \
    --entry-hosts "$callers" --token "$target_token" \
    --faults hang,reset,cross,not_admitted --fault-period $((12 + i)) \
    --journal "$work_dir/service-$i.journal"
  journals+=(--journal "$work_dir/service-$i.journal")
done
wait_for_targets "$operators" 8

"$load" --hosts "$callers" --seconds 20 --max-tokens 20 --whole-share 0.15 \
  --order-share 0.25 --certificate-share 0.1 --leave-share 0.1 \
  --customer large:large-key:60 --customer middle:middle-key:30 \
  --customer small:small-key:5 "${journals[@]}" >"$work_dir/load.json" &
load_pid=$!
sleep 6
kill -KILL "$pid_engine_1"
sleep 3
kill -KILL "$pid_service_1"
sleep 2
# A stopped process keeps its connections open and sends nothing.
kill -STOP "$pid_engine_2"
sleep 4
kill -CONT "$pid_engine_2"
wait "$load_pid"

emit faults calls "$(jq .all.calls "$work_dir/load.json")" count
emit faults answered "$(jq .all.outcomes.answered "$work_dir/load.json")" count
emit faults wrong_answers "$(jq .check.wrong_answers "$work_dir/load.json")" \
  count at-most 0
emit faults false_not_run "$(jq .check.false_not_run "$work_dir/load.json")" \
  count at-most 0
emit faults doubled_orders "$(jq .check.doubled_orders "$work_dir/load.json")" \
  count at-most 0
emit faults calls_without_answer \
  "$(jq '.all.outcomes.no_answer // 0' "$work_dir/load.json")" count at-most 0

# Shutdown: terminate the router while long streams are in progress.
for i in 3 4 5; do
  kill -TERM "$(eval "echo \$pid_engine_$i")" || true
done
for i in 6 7; do
  start "engine-$i" "$engine" --name "engine-$i" --data-centre a \
    --entry-hosts "$callers" --token "$target_token" --cold-ms 0 \
    --step-us 5000 --slots 64 --cold-slots 64
done
sleep 1
"$load" --hosts "$callers" --seconds 4 --max-tokens 200 \
  --customer large:large-key:30 >"$work_dir/shutdown.json" &
load_pid=$!
sleep 2
kill -TERM "$pid_router"
set +e
wait "$pid_router"
exit_code=$?
set -e
wait "$load_pid"
emit faults answered_in_shutdown \
  "$(jq .all.outcomes.answered "$work_dir/shutdown.json")" count at-least 1
emit faults cut_by_shutdown "$(jq '.all.outcomes.cut // 0' \
  "$work_dir/shutdown.json")" count at-most 0
emit faults shutdown_exit_code "$exit_code" code at-most 0
