set datafile separator ','
set border 3
set tics nomirror
set samples 2
set yrange [0:*]
unset multiplot
set terminal svg size 1280,960 font ',9'
set output 'core.svg'
set multiplot layout 4,4
set title 'core_bytes_by_workers' noenhanced
set xlabel 'workers'
set ylabel 'bytes of state'
plot '< grep ^core_bytes_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 46050.5 + 416.895 * x with lines notitle
set title 'core_quiet_tick_us_by_workers' noenhanced
set xlabel 'workers'
set ylabel 'us a quiet tick'
plot '< grep ^core_quiet_tick_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0243246 + 4.40922e-07 * x with lines notitle
set title 'core_event_tick_us_by_workers' noenhanced
set xlabel 'workers'
set ylabel 'us a tick with an event'
plot '< grep ^core_event_tick_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 23.3085 + 0.0564474 * x with lines notitle
set title 'core_review_us_by_workers' noenhanced
set xlabel 'workers'
set ylabel 'us a review of the queue'
plot '< grep ^core_review_us_by_workers, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 20.4368 + 0.064978 * x with lines notitle
set title 'core_bytes_by_tasks' noenhanced
set xlabel 'running tasks'
set ylabel 'bytes of state'
plot '< grep ^core_bytes_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 14494 + 198.61 * x with lines notitle
set title 'core_quiet_tick_us_by_tasks' noenhanced
set xlabel 'running tasks'
set ylabel 'us a quiet tick'
plot '< grep ^core_quiet_tick_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0253219 + -1.24474e-07 * x with lines notitle
set title 'core_event_tick_us_by_tasks' noenhanced
set xlabel 'running tasks'
set ylabel 'us a tick with an event'
plot '< grep ^core_event_tick_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 122.319 + 0.00619145 * x with lines notitle
set title 'core_review_us_by_tasks' noenhanced
set xlabel 'running tasks'
set ylabel 'us a review of the queue'
plot '< grep ^core_review_us_by_tasks, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 133.965 + 0.0141983 * x with lines notitle
set title 'core_bytes_by_teams' noenhanced
set xlabel 'teams'
set ylabel 'bytes of state'
plot '< grep ^core_bytes_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 245011 + 618.896 * x with lines notitle
set title 'core_quiet_tick_us_by_teams' noenhanced
set xlabel 'teams'
set ylabel 'us a quiet tick'
plot '< grep ^core_quiet_tick_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0239063 + 3.42296e-05 * x with lines notitle
set title 'core_event_tick_us_by_teams' noenhanced
set xlabel 'teams'
set ylabel 'us a tick with an event'
plot '< grep ^core_event_tick_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 22.9871 + 0.159781 * x with lines notitle
set title 'core_review_us_by_teams' noenhanced
set xlabel 'teams'
set ylabel 'us a review of the queue'
plot '< grep ^core_review_us_by_teams, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 24.9892 + 0.169994 * x with lines notitle
set title 'core_bytes_by_queued' noenhanced
set xlabel 'queued jobs'
set ylabel 'bytes of state'
plot '< grep ^core_bytes_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 23748 + 335.526 * x with lines notitle
set title 'core_quiet_tick_us_by_queued' noenhanced
set xlabel 'queued jobs'
set ylabel 'us a quiet tick'
plot '< grep ^core_quiet_tick_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 0.0249325 + 1.02695e-08 * x with lines notitle
set title 'core_event_tick_us_by_queued' noenhanced
set xlabel 'queued jobs'
set ylabel 'us a tick with an event'
plot '< grep ^core_event_tick_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 48.9697 + 1.69409e-05 * x with lines notitle
set title 'core_review_us_by_queued' noenhanced
set xlabel 'queued jobs'
set ylabel 'us a review of the queue'
plot '< grep ^core_review_us_by_queued, points.csv' using 3:4 with points pt 7 ps 0.4 notitle, 65.1129 + -1.07714e-05 * x with lines notitle
