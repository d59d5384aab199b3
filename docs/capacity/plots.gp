set datafile separator ','
set border 3
set tics nomirror
set samples 2
set yrange [0:*]
unset multiplot
set terminal svg size 1280,1200 font ',9'
set output 'core.svg'
set multiplot layout 5,4
set title 'core_bytes_by_workers' noenhanced
set xlabel "workers"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 79200.4 + 419.929 * x with lines notitle
set title 'core_quiet_tick_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0313222 + -2.4445e-06 * x with lines notitle
set title 'core_event_tick_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 29.4922 + -0.000937991 * x with lines notitle
set title 'core_review_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 25.7717 + 0.0531932 * x with lines notitle
set title 'core_bytes_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 14812.8 + 209.089 * x with lines notitle
set title 'core_quiet_tick_us_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0277544 + 2.61511e-07 * x with lines notitle
set title 'core_event_tick_us_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 28.7235 + 0.000360501 * x with lines notitle
set title 'core_review_us_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 118.465 + 0.0117395 * x with lines notitle
set title 'core_bytes_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 245829 + 620.461 * x with lines notitle
set title 'core_quiet_tick_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0275287 + -8.16299e-06 * x with lines notitle
set title 'core_event_tick_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 5.65235 + 0.183031 * x with lines notitle
set title 'core_review_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 18.79 + 0.198139 * x with lines notitle
set title 'core_bytes_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 23910.9 + 399.559 * x with lines notitle
set title 'core_quiet_tick_us_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0268734 + 7.74043e-08 * x with lines notitle
set title 'core_event_tick_us_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 27.596 + 6.11973e-05 * x with lines notitle
set title 'core_review_us_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 56.8339 + 2.29368e-05 * x with lines notitle
set title 'core_place_us_by_gang' noenhanced
set xlabel "tasks of the gang"
set ylabel "us until it is placed"
plot '< grep ^core_place_us_by_gang, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 16.8015 + 0.639861 * x with lines notitle
set title 'core_lost_us_by_workers' noenhanced
set xlabel "workers lost at once"
set ylabel "us until shapes have their places again"
plot '< grep ^core_lost_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1178.58 + -1.87728 * x with lines notitle
unset multiplot
set terminal svg size 1280,720 font ',9'
set output 'pool.svg'
set multiplot layout 3,4
set title 'pool_file_bytes_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes of the file"
plot '< grep ^pool_file_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 31080.1 + 186.156 * x with lines notitle
set title 'pool_message_bytes_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes to a member"
plot '< grep ^pool_message_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1366.82 + 46.8337 * x with lines notitle
set title 'pool_parse_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us to parse and check"
plot '< grep ^pool_parse_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1459.8 + 13.0514 * x with lines notitle
set title 'pool_apply_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us to put in force"
plot '< grep ^pool_apply_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 248.419 + 2.04353 * x with lines notitle
set title 'pool_state_bytes_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes of the parsed file"
plot '< grep ^pool_state_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 300141 + 330.624 * x with lines notitle
set title 'pool_file_bytes_by_workers' noenhanced
set xlabel "workers"
set ylabel "bytes of the file"
plot '< grep ^pool_file_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 20175.4 + 18.9513 * x with lines notitle
set title 'pool_message_bytes_by_workers' noenhanced
set xlabel "workers"
set ylabel "bytes to a member"
plot '< grep ^pool_message_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 5607.31 + 0.671135 * x with lines notitle
set title 'pool_parse_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us to parse and check"
plot '< grep ^pool_parse_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 627.243 + 1.43892 * x with lines notitle
set title 'pool_apply_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us to put in force"
plot '< grep ^pool_apply_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 74.6521 + 0.17132 * x with lines notitle
set title 'pool_state_bytes_by_workers' noenhanced
set xlabel "workers"
set ylabel "bytes of the parsed file"
plot '< grep ^pool_state_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 37113.2 + 169.041 * x with lines notitle
unset multiplot
set terminal svg size 1280,720 font ',9'
set output 'recovery.svg'
set multiplot layout 3,4
set title 'recovery_ms_by_live' noenhanced
set xlabel "jobs on record that have not ended"
set ylabel "ms until the cell is held"
plot '< grep ^recovery_ms_by_live, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 98.5 + 0.0983333 * x with lines notitle
set title 'recovery_reads_by_live' noenhanced
set xlabel "jobs on record that have not ended"
set ylabel "reads"
plot '< grep ^recovery_reads_by_live, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.17686 + 0.00397521 * x with lines notitle
set title 'recovery_cpu_ms_by_live' noenhanced
set xlabel "jobs on record that have not ended"
set ylabel "ms of processor time"
plot '< grep ^recovery_cpu_ms_by_live, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2.26184 + 0.0103467 * x with lines notitle
set title 'recovery_bytes_by_live' noenhanced
set xlabel "jobs on record that have not ended"
set ylabel "bytes of state"
plot '< grep ^recovery_bytes_by_live, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 524774 + 1928.85 * x with lines notitle
set title 'recovery_ms_by_ended' noenhanced
set xlabel "ended jobs on record"
set ylabel "ms until the cell is held"
plot '< grep ^recovery_ms_by_ended, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 98.5 + 0.0983333 * x with lines notitle
set title 'recovery_reads_by_ended' noenhanced
set xlabel "ended jobs on record"
set ylabel "reads"
plot '< grep ^recovery_reads_by_ended, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.17686 + 0.00397521 * x with lines notitle
set title 'recovery_cpu_ms_by_ended' noenhanced
set xlabel "ended jobs on record"
set ylabel "ms of processor time"
plot '< grep ^recovery_cpu_ms_by_ended, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2.23968 + 0.00721798 * x with lines notitle
set title 'recovery_bytes_by_ended' noenhanced
set xlabel "ended jobs on record"
set ylabel "bytes of state"
plot '< grep ^recovery_bytes_by_ended, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 287131 + 0.455096 * x with lines notitle
set title 'recovery_row_bytes_by_gang' noenhanced
set xlabel "tasks of the gang"
set ylabel "bytes of the job's row"
plot '< grep ^recovery_row_bytes_by_gang, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 301.448 + 26.441 * x with lines notitle
unset multiplot
set terminal svg size 1280,480 font ',9'
set output 'members.svg'
set multiplot layout 2,4
set title 'members_messages_per_s' noenhanced
set xlabel "members"
set ylabel "messages/s in and out"
plot '< grep ^members_messages_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 16.5219 + -0.000417113 * x with lines notitle
set title 'members_wire_bytes_per_s' noenhanced
set xlabel "members"
set ylabel "wire bytes/s in and out"
plot '< grep ^members_wire_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3093.49 + 0.116864 * x with lines notitle
set title 'members_payload_bytes_per_s' noenhanced
set xlabel "members"
set ylabel "bytes/s without CURVE and TCP"
plot '< grep ^members_payload_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 796.942 + 0.174842 * x with lines notitle
set title 'members_wire_bytes_per_s_worst' noenhanced
set xlabel "members"
set ylabel "wire bytes/s of the busiest"
plot '< grep ^members_wire_bytes_per_s_worst, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3425.57 + 2.07514 * x with lines notitle
set title 'members_cpu_us_per_s' noenhanced
set xlabel "members"
set ylabel "us of processor time a second"
plot '< grep ^members_cpu_us_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 5.91101 + 0.480059 * x with lines notitle
set title 'members_messages_by_changes' noenhanced
set xlabel "pool changes a minute (45 members)"
set ylabel "messages/s in and out"
plot '< grep ^members_messages_by_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 16.8155 + 0.180158 * x with lines notitle
unset multiplot
set terminal svg size 1280,720 font ',9'
set output 'watching.svg'
set multiplot layout 3,4
set title 'watching_messages_per_s' noenhanced
set xlabel "workers watched"
set ylabel "messages/s in and out"
plot '< grep ^watching_messages_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -1.57778 + 1.9119 * x with lines notitle
set title 'watching_wire_bytes_per_s' noenhanced
set xlabel "workers watched"
set ylabel "wire bytes/s in and out"
plot '< grep ^watching_wire_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -396.078 + 486.261 * x with lines notitle
set title 'watching_payload_bytes_per_s' noenhanced
set xlabel "workers watched"
set ylabel "bytes/s without TCP"
plot '< grep ^watching_payload_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -231.989 + 287.423 * x with lines notitle
set title 'watching_cpu_percent' noenhanced
set xlabel "workers watched"
set ylabel "% of a core"
plot '< grep ^watching_cpu_percent, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.558992 + 0.0150096 * x with lines notitle
set title 'watching_messages_per_s_as_wired' noenhanced
set xlabel "workers watched"
set ylabel "messages/s in and out"
plot '< grep ^watching_messages_per_s_as_wired, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.92222 + 0.346631 * x with lines notitle
set title 'watching_wire_bytes_per_s_as_wired' noenhanced
set xlabel "workers watched"
set ylabel "wire bytes/s in and out"
plot '< grep ^watching_wire_bytes_per_s_as_wired, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 493.033 + 83.6651 * x with lines notitle
set title 'watching_payload_bytes_per_s_as_wired' noenhanced
set xlabel "workers watched"
set ylabel "bytes/s without TCP"
plot '< grep ^watching_payload_bytes_per_s_as_wired, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 293.122 + 47.6154 * x with lines notitle
set title 'watching_cpu_percent_as_wired' noenhanced
set xlabel "workers watched"
set ylabel "% of a core"
plot '< grep ^watching_cpu_percent_as_wired, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.490261 + 0.00544269 * x with lines notitle
set title 'watching_answer_bytes' noenhanced
set xlabel "tasks reported"
set ylabel "bytes of a worker's answer"
plot '< grep ^watching_answer_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 64.0165 + 276.164 * x with lines notitle
set title 'watching_sighting_bytes' noenhanced
set xlabel "tasks reported"
set ylabel "bytes of a message to the holder"
plot '< grep ^watching_sighting_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 21.1799 + 167.004 * x with lines notitle
set title 'watching_grants_bytes' noenhanced
set xlabel "workers granted"
set ylabel "bytes of a set of grants"
plot '< grep ^watching_grants_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -14.2575 + 11.8633 * x with lines notitle
unset multiplot
set terminal svg size 1280,240 font ',9'
set output 'connections.svg'
set multiplot layout 1,4
set title 'connections_arrival_cpu_ms' noenhanced
set xlabel "callers that connect and ask once"
set ylabel "ms of processor time with that of the callers"
plot '< grep ^connections_arrival_cpu_ms, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.669615 + 0.0416335 * x with lines notitle
set title 'connections_caller_bytes' noenhanced
set xlabel "open callers"
set ylabel "bytes of the daemon"
plot '< grep ^connections_caller_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3557.7 + 2253.86 * x with lines notitle
set title 'connections_caller_cpu_percent' noenhanced
set xlabel "open callers"
set ylabel "% of a core"
plot '< grep ^connections_caller_cpu_percent, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.524865 + 0.000319143 * x with lines notitle
set title 'connections_upstream_bytes' noenhanced
set xlabel "upstream connections"
set ylabel "bytes of the client"
plot '< grep ^connections_upstream_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1618 + 1698.48 * x with lines notitle
unset multiplot
set terminal svg size 1280,1200 font ',9'
set output 'store.svg'
set multiplot layout 5,4
set title 'store_idle_reads_per_s' noenhanced
set xlabel "daemons"
set ylabel "reads/s"
plot '< grep ^store_idle_reads_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.625 + 3.525 * x with lines notitle
set title 'store_idle_commits_per_s' noenhanced
set xlabel "daemons"
set ylabel "commits/s"
plot '< grep ^store_idle_commits_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.5 + 0 * x with lines notitle
set title 'store_idle_bytes_per_s' noenhanced
set xlabel "daemons"
set ylabel "bytes/s"
plot '< grep ^store_idle_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 389.65 + 2548.75 * x with lines notitle
set title 'store_idle_payload_bytes_per_s' noenhanced
set xlabel "daemons"
set ylabel "bytes/s without TCP"
plot '< grep ^store_idle_payload_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 223.25 + 1612.75 * x with lines notitle
set title 'store_idle_cpu_percent' noenhanced
set xlabel "daemons"
set ylabel "% of a core"
plot '< grep ^store_idle_cpu_percent, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.636493 + 0.261034 * x with lines notitle
set title 'store_bytes_per_s_by_listed' noenhanced
set xlabel "workers listed"
set ylabel "bytes/s of one idle daemon"
plot '< grep ^store_bytes_per_s_by_listed, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2971.84 + 0.0369529 * x with lines notitle
set title 'store_bytes_per_s_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes/s of one idle daemon"
plot '< grep ^store_bytes_per_s_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3033.52 + 0.0803439 * x with lines notitle
set title 'store_reads_by_jobs' noenhanced
set xlabel "jobs"
set ylabel "reads"
plot '< grep ^store_reads_by_jobs, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2.47385 + 0.865332 * x with lines notitle
set title 'store_commits_by_jobs' noenhanced
set xlabel "jobs"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_jobs, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 5.4354 + 2.23894 * x with lines notitle
set title 'store_rows_by_jobs' noenhanced
set xlabel "jobs"
set ylabel "rows written"
plot '< grep ^store_rows_by_jobs, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.523431 + 4.01777 * x with lines notitle
set title 'store_reads_by_requests' noenhanced
set xlabel "idempotent requests"
set ylabel "reads"
plot '< grep ^store_reads_by_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.10539 + -0.0184412 * x with lines notitle
set title 'store_commits_by_requests' noenhanced
set xlabel "idempotent requests"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.193513 + -0.00421903 * x with lines notitle
set title 'store_rows_by_requests' noenhanced
set xlabel "idempotent requests"
set ylabel "rows written"
plot '< grep ^store_rows_by_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.193513 + -0.00421903 * x with lines notitle
set title 'store_reads_by_other_requests' noenhanced
set xlabel "non-idempotent requests"
set ylabel "reads"
plot '< grep ^store_reads_by_other_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.845174 + 0.0586702 * x with lines notitle
set title 'store_commits_by_other_requests' noenhanced
set xlabel "non-idempotent requests"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_other_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2.9165 + 2.7153 * x with lines notitle
set title 'store_rows_by_other_requests' noenhanced
set xlabel "non-idempotent requests"
set ylabel "rows written"
plot '< grep ^store_rows_by_other_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.0330528 + 2.01293 * x with lines notitle
set title 'store_reads_by_pool_changes' noenhanced
set xlabel "pool changes"
set ylabel "reads"
plot '< grep ^store_reads_by_pool_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.36056 + 1.05169 * x with lines notitle
set title 'store_commits_by_pool_changes' noenhanced
set xlabel "pool changes"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_pool_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.997867 + 1.04698 * x with lines notitle
set title 'store_rows_by_pool_changes' noenhanced
set xlabel "pool changes"
set ylabel "rows written"
plot '< grep ^store_rows_by_pool_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.997867 + 1.04698 * x with lines notitle
