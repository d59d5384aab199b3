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
plot '< grep ^core_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 76947.8 + 421.529 * x with lines notitle
set title 'core_quiet_tick_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0259749 + -2.17503e-06 * x with lines notitle
set title 'core_event_tick_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 23.9707 + 0.00161288 * x with lines notitle
set title 'core_review_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 19.6072 + 0.0545521 * x with lines notitle
set title 'core_bytes_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 15462 + 212.51 * x with lines notitle
set title 'core_quiet_tick_us_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0235548 + 3.91741e-07 * x with lines notitle
set title 'core_event_tick_us_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 23.9071 + 0.00105715 * x with lines notitle
set title 'core_review_us_by_tasks' noenhanced
set xlabel "running tasks"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 110.444 + 0.0098584 * x with lines notitle
set title 'core_bytes_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 245712 + 619.949 * x with lines notitle
set title 'core_quiet_tick_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0286438 + -6.17918e-06 * x with lines notitle
set title 'core_event_tick_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 6.77197 + 0.170226 * x with lines notitle
set title 'core_review_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 19.4308 + 0.190059 * x with lines notitle
set title 'core_bytes_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "bytes of state"
plot '< grep ^core_bytes_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 22896.5 + 399.553 * x with lines notitle
set title 'core_quiet_tick_us_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "us a quiet tick"
plot '< grep ^core_quiet_tick_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.027507 + -6.91954e-08 * x with lines notitle
set title 'core_event_tick_us_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "us a tick with an event"
plot '< grep ^core_event_tick_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 29.5795 + -7.99927e-05 * x with lines notitle
set title 'core_review_us_by_queued' noenhanced
set xlabel "queued jobs"
set ylabel "us a review of the queue"
plot '< grep ^core_review_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 49.5195 + -0.000139376 * x with lines notitle
set title 'core_place_us_by_gang' noenhanced
set xlabel "tasks of the gang"
set ylabel "us until it is placed"
plot '< grep ^core_place_us_by_gang, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 11.8612 + 0.510866 * x with lines notitle
set title 'core_lost_us_by_workers' noenhanced
set xlabel "workers lost at once"
set ylabel "us until shapes have their places again"
plot '< grep ^core_lost_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1145.31 + -1.18837 * x with lines notitle
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
plot '< grep ^pool_parse_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1306.74 + 7.03712 * x with lines notitle
set title 'pool_apply_us_by_teams' noenhanced
set xlabel "teams"
set ylabel "us to put in force"
plot '< grep ^pool_apply_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 385.064 + 1.92649 * x with lines notitle
set title 'pool_state_bytes_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes of the parsed file"
plot '< grep ^pool_state_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 300112 + 329.618 * x with lines notitle
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
plot '< grep ^pool_parse_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 349.391 + 2.11486 * x with lines notitle
set title 'pool_apply_us_by_workers' noenhanced
set xlabel "workers"
set ylabel "us to put in force"
plot '< grep ^pool_apply_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 176.566 + 0.272532 * x with lines notitle
set title 'pool_state_bytes_by_workers' noenhanced
set xlabel "workers"
set ylabel "bytes of the parsed file"
plot '< grep ^pool_state_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 37185.1 + 169.024 * x with lines notitle
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
plot '< grep ^recovery_cpu_ms_by_live, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.61428 + 0.0273899 * x with lines notitle
set title 'recovery_bytes_by_live' noenhanced
set xlabel "jobs on record that have not ended"
set ylabel "bytes of state"
plot '< grep ^recovery_bytes_by_live, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.06834e+06 + 3088.04 * x with lines notitle
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
plot '< grep ^recovery_cpu_ms_by_ended, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.63234 + 0.00771145 * x with lines notitle
set title 'recovery_bytes_by_ended' noenhanced
set xlabel "ended jobs on record"
set ylabel "bytes of state"
plot '< grep ^recovery_bytes_by_ended, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 286672 + 0.356209 * x with lines notitle
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
plot '< grep ^members_messages_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 16.5084 + -0.000327999 * x with lines notitle
set title 'members_wire_bytes_per_s' noenhanced
set xlabel "members"
set ylabel "wire bytes/s in and out"
plot '< grep ^members_wire_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3191.8 + 0.132046 * x with lines notitle
set title 'members_payload_bytes_per_s' noenhanced
set xlabel "members"
set ylabel "bytes/s without CURVE and TCP"
plot '< grep ^members_payload_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 897.125 + 0.177638 * x with lines notitle
set title 'members_wire_bytes_per_s_worst' noenhanced
set xlabel "members"
set ylabel "wire bytes/s of the busiest"
plot '< grep ^members_wire_bytes_per_s_worst, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3453.99 + 3.06565 * x with lines notitle
set title 'members_cpu_us_per_s' noenhanced
set xlabel "members"
set ylabel "us of processor time a second"
plot '< grep ^members_cpu_us_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 8.53251 + 0.332799 * x with lines notitle
set title 'members_messages_by_changes' noenhanced
set xlabel "pool changes a minute (45 members)"
set ylabel "messages/s in and out"
plot '< grep ^members_messages_by_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 16.8219 + 0.179717 * x with lines notitle
set title 'members_grants_wire_bytes_per_s' noenhanced
set xlabel "workers granted to each of 8 others"
set ylabel "wire bytes/s sent by the holder for grants"
plot '< grep ^members_grants_wire_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 652.115 + 17.4044 * x with lines notitle
unset multiplot
set terminal svg size 1280,720 font ',9'
set output 'watching.svg'
set multiplot layout 3,4
set title 'watching_messages_per_s' noenhanced
set xlabel "workers watched"
set ylabel "messages/s in and out"
plot '< grep ^watching_messages_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -1.43333 + 1.90957 * x with lines notitle
set title 'watching_wire_bytes_per_s' noenhanced
set xlabel "workers watched"
set ylabel "wire bytes/s in and out"
plot '< grep ^watching_wire_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -358.178 + 485.579 * x with lines notitle
set title 'watching_payload_bytes_per_s' noenhanced
set xlabel "workers watched"
set ylabel "bytes/s without TCP"
plot '< grep ^watching_payload_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -209.111 + 286.984 * x with lines notitle
set title 'watching_cpu_percent' noenhanced
set xlabel "workers watched"
set ylabel "% of a core"
plot '< grep ^watching_cpu_percent, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.510857 + 0.016245 * x with lines notitle
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
plot '< grep ^watching_cpu_percent_as_wired, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.445076 + 0.00625644 * x with lines notitle
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
plot '< grep ^connections_arrival_cpu_ms, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -1.20953 + 0.0531427 * x with lines notitle
set title 'connections_caller_bytes' noenhanced
set xlabel "open callers"
set ylabel "bytes of the daemon"
plot '< grep ^connections_caller_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3373.75 + 2253.76 * x with lines notitle
set title 'connections_caller_cpu_percent' noenhanced
set xlabel "open callers"
set ylabel "% of a core"
plot '< grep ^connections_caller_cpu_percent, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.65989 + 0.000347839 * x with lines notitle
set title 'connections_upstream_bytes' noenhanced
set xlabel "upstream connections"
set ylabel "bytes of the client"
plot '< grep ^connections_upstream_bytes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1612 + 1698.3 * x with lines notitle
unset multiplot
set terminal svg size 1280,1200 font ',9'
set output 'store.svg'
set multiplot layout 5,4
set title 'store_idle_reads_per_s' noenhanced
set xlabel "daemons"
set ylabel "reads/s"
plot '< grep ^store_idle_reads_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.2 + 3.3 * x with lines notitle
set title 'store_idle_commits_per_s' noenhanced
set xlabel "daemons"
set ylabel "commits/s"
plot '< grep ^store_idle_commits_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.65 + -0.05 * x with lines notitle
set title 'store_idle_bytes_per_s' noenhanced
set xlabel "daemons"
set ylabel "bytes/s"
plot '< grep ^store_idle_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 873.95 + 2091.85 * x with lines notitle
set title 'store_idle_payload_bytes_per_s' noenhanced
set xlabel "daemons"
set ylabel "bytes/s without TCP"
plot '< grep ^store_idle_payload_bytes_per_s, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 509.95 + 1311.85 * x with lines notitle
set title 'store_idle_cpu_percent' noenhanced
set xlabel "daemons"
set ylabel "% of a core"
plot '< grep ^store_idle_cpu_percent, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.321547 + 0.330839 * x with lines notitle
set title 'store_bytes_per_s_by_listed' noenhanced
set xlabel "workers listed"
set ylabel "bytes/s of one idle daemon"
plot '< grep ^store_bytes_per_s_by_listed, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2818.07 + -0.0064445 * x with lines notitle
set title 'store_bytes_per_s_by_teams' noenhanced
set xlabel "teams"
set ylabel "bytes/s of one idle daemon"
plot '< grep ^store_bytes_per_s_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 2732 + 0 * x with lines notitle
set title 'store_reads_by_jobs' noenhanced
set xlabel "jobs"
set ylabel "reads"
plot '< grep ^store_reads_by_jobs, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 1.85508 + 0.897591 * x with lines notitle
set title 'store_commits_by_jobs' noenhanced
set xlabel "jobs"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_jobs, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 5.22257 + 2.1979 * x with lines notitle
set title 'store_rows_by_jobs' noenhanced
set xlabel "jobs"
set ylabel "rows written"
plot '< grep ^store_rows_by_jobs, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.12481 + 3.99495 * x with lines notitle
set title 'store_reads_by_requests' noenhanced
set xlabel "idempotent requests"
set ylabel "reads"
plot '< grep ^store_reads_by_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.984516 + 0.000241019 * x with lines notitle
set title 'store_commits_by_requests' noenhanced
set xlabel "idempotent requests"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.0971076 + 0.0164109 * x with lines notitle
set title 'store_rows_by_requests' noenhanced
set xlabel "idempotent requests"
set ylabel "rows written"
plot '< grep ^store_rows_by_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.0971076 + 0.0164109 * x with lines notitle
set title 'store_reads_by_other_requests' noenhanced
set xlabel "non-idempotent requests"
set ylabel "reads"
plot '< grep ^store_reads_by_other_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.159336 + -0.0137872 * x with lines notitle
set title 'store_commits_by_other_requests' noenhanced
set xlabel "non-idempotent requests"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_other_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 3.50468 + 2.70601 * x with lines notitle
set title 'store_rows_by_other_requests' noenhanced
set xlabel "non-idempotent requests"
set ylabel "rows written"
plot '< grep ^store_rows_by_other_requests, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.379681 + 2.0175 * x with lines notitle
set title 'store_reads_by_pool_changes' noenhanced
set xlabel "pool changes"
set ylabel "reads"
plot '< grep ^store_reads_by_pool_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.328905 + 1.05611 * x with lines notitle
set title 'store_commits_by_pool_changes' noenhanced
set xlabel "pool changes"
set ylabel "commits and puts"
plot '< grep ^store_commits_by_pool_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.258358 + 1.0134 * x with lines notitle
set title 'store_rows_by_pool_changes' noenhanced
set xlabel "pool changes"
set ylabel "rows written"
plot '< grep ^store_rows_by_pool_changes, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, -0.258358 + 1.0134 * x with lines notitle
