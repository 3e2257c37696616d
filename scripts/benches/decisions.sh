# Processor time of one router's decisions while requests wait, over targets,
# customers and waiting requests: an arrival and a freed slot together are one
# decision.
source scripts/lib.sh

smallest=""
for size in "30 1 10" "262 50 500" "1300 870 500"; do
  read -r targets customers waiting <<<"$size"
  line=$("$build_dir/tools/burdocklock-routing-cost" --targets "$targets" \
    --customers "$customers" --waiting "$waiting" --rounds 20000)
  decision=$(jq '.arrival_us + .completion_us' <<<"$line")
  smallest=${smallest:-$decision}
  emit decisions "decision_at_$targets" "$decision" us
  emit decisions "announcement_at_$targets" "$(jq .announcement_us <<<"$line")" us
  emit decisions "others_load_at_$targets" "$(jq .others_load_us <<<"$line")" us
  emit decisions "refusal_at_$targets" "$(jq .refusal_us <<<"$line")" us
done
emit decisions growth "$(evaluate "$decision / $smallest")" ratio at-most 1.5
