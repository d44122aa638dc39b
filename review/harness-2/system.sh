# Starts a small deployment for a case: sourced by its run.sh, which must have
# set TROUBLE, and `here` to its folder. The programs run as separate processes
# with the commands of the deploy file, with settings from its templates, on
# loopback addresses of their own and on the real clock.

root=$(cd "$here/../.." && pwd)
stand_ins="$root/build/review-2"
record="$here/record.txt"

exit_cannot_run=2
pids=()
names=()
work=""

cannot_run() {
    echo "can't run: $*" | tee -a "$record" >&2
    exit "$exit_cannot_run"
}

# Ends exactly the processes that this script has started.
end_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2> /dev/null; do sleep 0.05; done
    done
    [ -z "$work" ] || rm -rf "$work"
}

# render TEMPLATE OUT NAME VALUE [NAME VALUE...]: fills in a template of
# deploy/settings; only the kinds of placeholders that these contain.
render() {
    local template="$root/deploy/settings/$1" out="$2" text
    shift 2
    text=$(cat "$template")
    while [ $# -gt 0 ]; do
        # A section is kept for a value, and dropped for `-`.
        if [ "$2" = - ]; then
            text=$(sed -E "s#\{\{\#$1\}\}.*\{\{/$1\}\}##g" <<< "$text")
        else
            text=$(sed -E "s#\{\{\#$1\}\}##g; s#\{\{\^$1\}\}.*\{\{/$1\}\}##g
                s#\{\{/$1\}\}##g; s#\{\{$1\}\}#$2#g" <<< "$text")
        fi
        shift 2
    done
    # The ports of the status pages are fixed in the templates.
    sed -e "s#:7731#:${port[5]}#; s#:7732#:${port[6]}#; s#:7733#:${port[7]}#" \
        <<< "$text" > "$out"
    ! grep -q '{{' "$out" || cannot_run "a placeholder is left in $1"
}

# start NAME ROLE: runs a role of deploy/system.toml with the settings file of
# that name.
start() {
    local name="$1" role="$2" program
    program=$(sed -n "/^\[roles\.$role\]/,/^\[/s/^run = \"\([^ ]*\) .*/\1/p" \
        "$root/deploy/system.toml")
    [ -x "$root/$program" ] || cannot_run "$program is not built"
    (cd "$root" && exec env -i PATH="$PATH" HOME="$work" LANG=C \
        "./$program" --config "$work/$name.ini") >> "$work/$name.log" 2>&1 &
    pids+=($!)
    # The shell doesn't report how it ends.
    disown $!
    names+=("$name")
    echo "started $name, process $!" >> "$record"
}

# begin CONTROLS GATEWAYS WORKERS
begin() {
    local controls="$1" gateways="$2" workers="$3" i address seeds=""
    : > "$record"
    [ -x "$stand_ins/ports" ] || cannot_run "run review/build-2.sh first"
    work=$(mktemp -d)
    trap end_all EXIT
    trap 'exit $exit_cannot_run' INT TERM
    read -r -a port <<< "$("$stand_ins/ports" 9)"
    prefix="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))."
    for ((i = 0; i < controls; ++i)); do
        seeds+="${seeds:+,}$prefix$((2 + i)):${port[0]}"
    done
    for ((i = 0; i < controls; ++i)); do
        address="$prefix$((2 + i))"
        render control.ini.in "$work/control-$i.ini" data_dir "$work/data-$i" \
            ip "$address" port_range.0 "${port[1]}" \
            bind_addrs.control "$address:${port[0]}" seeds "$seeds" \
            bootstrap yes bounds.max_hold_ms 10000 bounds.harm_ms 4000
        start "control-$i" control
    done
    for ((i = 0; i < gateways; ++i)); do
        address="$prefix$((12 + i))"
        render gateway.ini.in "$work/gateway-$i.ini" node_name "edge-$i" \
            zone "zone-$((i % 3))" ip "$address" \
            bind_addrs.front "$address:${port[2]}" \
            bind_addrs.readiness_addr "$address:${port[3]}" \
            bounds.config_apply_ms 2500 seeds "$seeds" \
            port_range.0 "${port[1]}"
        start "gateway-$i" gateway
    done
    for ((i = 0; i < workers; ++i)); do
        address="$prefix$((21 + i))"
        render sidecar.ini.in "$work/sidecar-$i.ini" node_name "side-$i" \
            ip "$address" bind_addrs.control "$address:${port[4]}" \
            app "$address:${port[8]}" seeds "$seeds" port_range.0 "${port[1]}"
        start "sidecar-$i" sidecar
    done
    system_arguments=("$prefix" "${port[0]}" "${port[2]}" "${port[4]}"
        "${port[8]}" "$controls" "$gateways" "$workers" "$record" "$TROUBLE")
}

# play CASE: runs the case's stand-ins to their end.
#
# Exits with 1 if they found the rule broken, 0 if it held, else 2.
play() {
    local status=0 i
    timeout --foreground 100 "$stand_ins/$1" "${system_arguments[@]}" ||
        status=$?
    for ((i = 0; i < ${#pids[@]}; ++i)); do
        kill -0 "${pids[$i]}" 2> /dev/null ||
            echo "${names[$i]} has ended by itself" >> "$record"
    done
    [ "$status" -le 1 ] || cannot_run "the stand-ins ended with $status"
    echo "exit status $status" >> "$record"
    exit "$status"
}
