# The operator of the soak: replaces the configuration and reads it back all the time,
# over kept and new connections, and records both. To be sourced after hosts.sh.
#
# $work_dir/changes has a line VERSION BEGIN END TRIES for each change, END is "-" if it
# was not acknowledged; $work_dir/reads a line BEGIN VERSION HOST for each successful
# read. Times are in milliseconds.

# A paused host takes a connection and does not answer.
answer_timeout_s=1.5
between_tries_ms=100
most_redirects=3
route_count=${ROUTES:-30}
configuration_path=/v1/configuration

# prepare_routes: writes all members of a configuration but its version.
prepare_routes() {
  jq -cn --argjson count "$route_count" '
    {routes: [range($count) | {name: "route-\(.)", host_name: "desk-\(.).example",
                               path_prefix: "/stock/", kind: "idempotent",
                               timeout_ms: 2000, max_attempts: 2,
                               services: [{service: "desk"}]}],
     services: [{name: "desk"}]}' >"$work_dir/routes"
}

# ask_on_new METHOD IP: as ask, over a new connection.
ask_on_new() {
  local data=()
  [[ $1 == GET ]] || data=(--data-binary "@$work_dir/configuration")
  : >"$work_dir/answer"
  curl -s -m "$answer_timeout_s" -X "$1" "${data[@]}" \
    -H "Authorization: Bearer $operator_token" -o "$work_dir/answer" \
    -w '%{http_code} %{redirect_url}\n' \
    "http://$2:$command_port$configuration_path" >"$work_dir/outcome" || true
  read -r status location <"$work_dir/outcome" || true
  status=$((10#${status:-0}))
  IFS= read -r -d '' answer <"$work_dir/answer" || true
}

# receive FD: reads a response.
receive() {
  local line length=0
  read -r -t "$answer_timeout_s" -u "$1" _ status line || return 1
  while read -r -t "$answer_timeout_s" -u "$1" line; do
    line=${line%$'\r'}
    case ${line,,} in
      "") break ;;
      content-length:*) length=${line##*[: ]} ;;
      location:*) location=${line#*: } ;;
    esac
  done
  ((length == 0)) ||
    IFS= read -r -N "$length" -t "$answer_timeout_s" -u "$1" answer
}

# exchange FD METHOD IP: sends a request over an open connection and reads the response.
exchange() {
  local body=""
  [[ $2 == GET ]] || body=$configuration
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s' \
    "$2" "$configuration_path" "$3" "$operator_token" "${#body}" "$body" \
    2>/dev/null >&"$1" || return 1
  receive "$1"
}

# ask_on_kept METHOD IP: as ask, over the connection that is kept to this host.
ask_on_kept() {
  local fd=${kept[$2]:-}
  if [[ -z $fd ]]; then
    { exec {fd}<>"/dev/tcp/$2/$command_port"; } 2>/dev/null || return 0
    kept[$2]=$fd
  fi
  if ! exchange "$fd" "$1" "$2"; then
    status=0
    exec {fd}>&-
    unset "kept[$2]"
  fi
}

# ask METHOD IP: sets status (0 if there was no answer) and answer; follows redirects.
ask() {
  local ip=$2 hop
  for ((hop = 0; hop <= most_redirects; ++hop)); do
    status=0 location="" answer=""
    draw 2
    if ((drawn)); then
      ask_on_kept "$1" "$ip"
    else
      ask_on_new "$1" "$ip"
    fi
    trail+=" $ip=$status"
    [[ $status == 307 && $location =~ ^http://([0-9.]+): ]] || break
    ip=${BASH_REMATCH[1]}
  done
  answered_by=$ip
}

draw_live_ip() {
  local ips
  read -ra ips <"$work_dir/live"
  draw ${#ips[@]}
  ip=${ips[drawn]}
}

# read_version IP: asks for the configuration; sets `read_back` to its version, 0 if there
# is none, and returns 1 if there was no answer that the newest was read.
read_version() {
  ask GET "$1"
  [[ $status == 200 ]] || return 1
  read_back=0
  [[ ! $answer =~ \"version\":\ ?([0-9]+) ]] || read_back=${BASH_REMATCH[1]}
}

read_once() {
  local begin ip trail=""
  draw_live_ip
  read_clock
  begin=$now
  ! read_version "$ip" || echo "$begin $read_back $ip" >>"$work_dir/reads"
}

# change: sends one change until it is acknowledged or the soak ends.
change() {
  local begin end=- tries=0 ip trail=""
  configuration="{\"version\": $version, ${routes:1}"
  echo "$configuration" >"$work_dir/configuration"
  read_clock
  begin=$now
  until [[ $end != - || -e $work_dir/stop ]]; do
    draw_live_ip
    ask PUT "$ip"
    ((++tries))
    if ((status / 100 == 2)); then
      read_clock
      end=$now
      echo "$version $begin" >"$work_dir/acknowledged"
      echo "$answered_by" >"$work_dir/leader"
    else
      read_once
      pause "$between_tries_ms"
    fi
  done
  echo "$version $begin $end $tries" >>"$work_dir/changes"
  ((tries < 5)) || echo "$version $tries$trail" >>"$work_dir/trails"
}

operate() {
  trap '' PIPE
  RANDOM=$((seed + 1))
  LC_ALL=C
  declare -A kept=()
  local routes configuration status location answer version=0
  read -r routes <"$work_dir/routes"
  until [[ -e $work_dir/stop ]]; do
    ((++version))
    change
    read_once
    draw 200
    pause "$drawn"
  done
}
