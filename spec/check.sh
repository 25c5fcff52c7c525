#!/bin/sh
# Checks the Spin models in this directory. Each line of MODELS holds a name, a file, the
# expected result (pass or fail) and the macro definitions. A mutation (fail) must be
# rejected. The script fails if a model fails, a search is incomplete, or a mutation
# passes. It runs two searches at a time, each with at most 2 GB. README.md describes the
# models.
set -u
cd "$(dirname "$0")" || exit 1

MODELS='
keys-alone       keys.pml pass -DKEYS -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
keys-pair        keys.pml pass -DKEYS -DPAIR -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
keys-resign      keys.pml pass -DKEYS -DONECALLER -DPAIR -DNV=4 -DMAXKILL=1 -DMAXRESIGN=1
claims           keys.pml pass -DCLAIMS -DNV=5 -DMAXKILL=1 -DMAXRESIGN=0
claims-resign    keys.pml pass -DCLAIMS -DPAIR -DNV=4 -DMAXKILL=2 -DMAXRESIGN=2
silence          keys.pml fail -DMUT_SILENCE -DKEYS -DONECALLER -DPAIR -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
uncommitted      keys.pml fail -DMUT_UNCOMMITTED -DKEYS -DONECALLER -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
no-copy          keys.pml fail -DMUT_NOCOPY -DKEYS -DONECALLER -DPAIR -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
no-tombstone     keys.pml fail -DMUT_NOTOMB -DKEYS -DONECALLER -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
no-freeze        keys.pml fail -DMUT_NOFREEZE -DKEYS -DONECALLER -DNV=4 -DMAXKILL=1 -DMAXRESIGN=0
both-resign      keys.pml fail -DMUT_BOTHRESIGN -DCLAIMS -DPAIR -DNV=4 -DMAXKILL=1 -DMAXRESIGN=2
resign-back      keys.pml fail -DMUT_RESIGNBACK -DKEYS -DONECALLER -DPAIR -DNV=4 -DMAXKILL=1 -DMAXRESIGN=1
old-list         keys.pml fail -DMUT_OLDLIST -DCLAIMS -DNV=5 -DMAXKILL=1 -DMAXRESIGN=0
generation       keys.pml fail -DMUT_GENERATION -DCLAIMS -DNV=5 -DMAXKILL=1 -DMAXRESIGN=0
one-promise      keys.pml fail -DMUT_PARTIAL -DCLAIMS -DNV=4 -DMAXKILL=2 -DMAXRESIGN=0
floor            floor.pml pass
floor-free-early floor.pml fail -DFREE_EARLY
floor-copy       floor.pml fail -DCOPY_EJECTS
floor-no-wait    floor.pml fail -DNO_WAIT
floor-no-accept  floor.pml fail -DNO_ACCEPT
floor-lose-wait  floor.pml fail -DLOSE_WAIT
floor-three      floor-members.pml pass -DNS=3 -DBUDGET=2 -DL=2 -DH=3 -DMAXKILL=3
floor-long       floor-members.pml pass -DNS=2 -DBUDGET=1 -DL=3 -DH=4 -DMAXKILL=4
floor-clients    floor-members.pml pass -DCLIENTS -DNS=2 -DBUDGET=1 -DL=2 -DH=3 -DMAXKILL=2
budget-free      floor-members.pml fail -DMUT_FREE
no-margin        floor-members.pml fail -DMUT_MARGIN -DL=2 -DH=2
copy-ejects      floor-members.pml fail -DMUT_SILENCE
claim-no-wait    floor-members.pml fail -DMUT_NOWAIT
wait-lost        floor-members.pml fail -DMUT_WAITLOST
told-early       floor-members.pml fail -DMUT_EARLY
stale-ack        floor-members.pml fail -DMUT_STALEACK
ended-lost       floor-members.pml fail -DMUT_ENDED
eject-in-prepare floor-members.pml fail -DMUT_FREEZE
lease-at-receipt floor-members.pml fail -DMUT_RECEIPT -DCLIENTS -DMAXKILL=0
log-six          configlog.pml pass -DNL=6 -DNR=2 -DMAXCOPY=2 -DRESTARTS=0
log-restart      configlog.pml pass -DNL=5 -DNR=2 -DMAXCOPY=3 -DRESTARTS=1
no-base          configlog.pml fail -DMUT_BASE
covers-late      configlog.pml fail -DMUT_COVERS -DNL=5
old-snapshot     configlog.pml fail -DMUT_OLDSNAP -DNL=5
skip-gap         configlog.pml fail -DMUT_GAP -DNL=5
older-peer       configlog.pml fail -DMUT_PEERBACK -DNL=5
no-history       configlog.pml fail -DMUT_HISTORY -DNL=5
refusal-forgot   configlog.pml fail -DMUT_FORGET -DNL=5
precheck-final   configlog.pml fail -DMUT_PRECHECK -DNL=5
'

# check NAME FILE EXPECTED DEFINITIONS...
check() {
	name=$1 file=$2 expected=$3
	shift 3
	mkdir "$work/$name" && cd "$work/$name" || return 1
	if ! spin -a "$@" "$spec/$file" >spin.out 2>&1 ||
		! cc -w -O2 -DSAFETY -DMEMLIM=2000 -o pan pan.c 2>cc.out; then
		cat spin.out cc.out
		echo "FAIL $name: the model does not compile"
		return 1
	fi
	./pan -m1000000 -w24 >out 2>&1
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
	seconds=$(sed -n 's/.*elapsed time \([0-9.]*\) seconds.*/\1/p' out)
	memory=$(sed -n 's/^ *\([0-9.]*\).*total actual memory usage.*/\1/p' out)
	figures="$states states, ${seconds:-0} s, $memory MB"
	assertion=$(grep -c 'assertion violated' out)
	if [ "$expected" = pass ] && [ "$errors" = 0 ] && ! grep -Eq 'Search not completed|max search depth too small|invalid array|out of memory' out; then
		echo "ok   $name: holds, $figures"
	elif [ "$expected" = fail ] && [ "${errors:-0}" != 0 ] && [ "$assertion" != 0 ] && ! grep -q 'invalid array' out; then
		echo "ok   $name: mutation rejected, $figures"
	else
		tail -40 out
		echo "FAIL $name: expected $expected, $figures"
		return 1
	fi
}

spec=$PWD
# The xargs call below runs this script again with "check" and one line of MODELS.
if [ "${1:-}" = check ]; then
	shift
	check "$@" >"$work/$1.out"
	failed=$?
	cat "$work/$1.out"
	exit $failed
fi

if ! command -v spin >/dev/null; then
	apt-get update -qq && apt-get install -y -qq spin || exit 1
fi
work=$(mktemp -d) || exit 1
export work
trap 'rm -rf "$work"' EXIT
echo "$MODELS" | sed '/^$/d' | xargs -P 2 -L 1 sh "$spec/check.sh" check
