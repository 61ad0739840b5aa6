#!/usr/bin/env bash
# play.sh FOLDER CASE: plays a case of the stand-ins and ends all processes that it started.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
for program in target/review/stand target/release/buckthornlink target/release/buckthornlink-agent; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
temp=$(mktemp -d)
finish() {
    while read -r pid; do
        case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
            "$PWD"/target/release/buckthornlink*) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done < <(cat "$temp/pids" 2>/dev/null)
    if [ -n "${KEEP:-}" ]; then cp -r "$temp" "$KEEP"; fi
    rm -rf "$temp"
}
trap finish EXIT
timeout -k 2 110 target/review/stand "$2" "$temp" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
