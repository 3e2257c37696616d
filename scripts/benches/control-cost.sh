# Processor time and bytes of one control host over routers and targets: in a
# steady second, in the second after all links were lost, and for one changed
# configuration.
source scripts/lib.sh

for size in "30 90" "117 262" "117 1300" "280 1300"; do
  read -r routers targets <<<"$size"
  line=$("$build_dir/tools/burdocklock-control-cost" --routers "$routers" \
    --targets "$targets")
  for figure in steady_ms_a_second first_second_ms configuration_ms; do
    emit control-cost "${figure}_at_${routers}_$targets" \
      "$(jq ".$figure" <<<"$line")" ms
  done
  emit control-cost "router_bytes_at_${routers}_$targets" \
    "$(jq .steady_bytes_a_router_second <<<"$line")" B/s
  emit control-cost "first_second_messages_at_${routers}_$targets" \
    "$(jq .first_second_messages <<<"$line")" messages
done
