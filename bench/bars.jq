# Prints a table of targets, each with its measured value, its limit and whether it was met.
# Input: a list of figures with deployment, load and policy.

def of($d; $l; $p): .[] | select(.deployment == $d and .load == $l and .policy == $p);
def shown: if . == null then "none" else (. * 1000 | round) / 1000 | tostring end;
def row($session; $bar; $value; $limit):
	"| \($session) | \($bar) | \($value | shown) | \($limit | shown) | \(if $value <= $limit then "met" else "missed" end) |";
def ratio($d; $l; $key; $other; $share):
	of($d; $l; "dragonflyfold")[$key] as $ours | of($d; $l; $other)[$key] as $theirs
	| row("\($d) \($l)"; "`\($key)` at most \($share) of `\($other)`"; $ours; $share * $theirs);

"| session | bar | measured | limit | |", "| --- | --- | --- | --- | --- |",
(.[] | select(.policy == "dragonflyfold")
	| row("\(.deployment) \(.load)"; "`guarantee_violations`"; .guarantee_violations; 0),
	  row("\(.deployment) \(.load)"; "`urgent_start_p99_s`"; .urgent_start_p99_s; 4.3)),
ratio("tatrinvest"; "0.9"; "completion_mean_s"; "backfill"; 0.5),
(of("tatrinvest"; "0.9"; "dragonflyfold")
	| row("tatrinvest 0.9"; "`completion_mean_s` at most 2 mean actual times"; .completion_mean_s; 2 * .actual_mean_s)),
ratio("cartucho"; "0.9"; "fragmentation"; "fifo"; 0.5),
ratio("cartucho"; "0.9"; "fragmentation"; "backfill"; 0.7),
ratio("cartucho"; "0.9"; "gang_wait_p95_s"; "backfill"; 0.5),
ratio("cartucho"; "0.9"; "completion_mean_s"; "backfill"; 0.7)
