package stage

// Platform is a small deployment with the figures of brno-klima: one router, second copies, three attempts. Its classes are
// lookup and report, which may run again, and upload, whose key is told apart by all engines and which keeps order.
const Platform = `{"az":0,"balancers":1,"index":0,"dcs":["brno-hall"],"flavors":["std-8"],"discovery":"push",
"feedback":{"how":"probe","names":["waiting","x0","x1"]},"prices":{"probe":0.01},
"grades":[{"name":"lookup","on-time-ms":800,"deadline-ms":4000,"aim-stretch":2,"idempotency":"idempotent","worth":1},
{"name":"report","on-time-ms":1500,"deadline-ms":15000,"aim-stretch":2.5,"idempotency":"idempotent","worth":6,"late-worth":0.3},
{"name":"upload","on-time-ms":4000,"deadline-ms":25000,"aim-stretch":2.5,"idempotency":"deduplicated","group":"all",
"window-ms":15000,"by-arrival":true,"worth":6,"late-worth":0.6}],
"limits":{"attempts-cap":3,"cancel":true,"may-duplicate":true,"may-probe":true,"retry-after":true,"max-retry-after-ms":500,
"dial-timeout-ms":250,"idle-close-ms":15000,"multiplex":32,"most-held":20000},
"rules":{"cold-from":0.34,"cold-ms":15000,"fall-multiple":2,"fall-ms":1000,"stop-sending-within-ms":250,"grace-to-answer-ms":20,
"settle-after-doubt-ms":500},
"specifics":{"cores-by-kind":[8],"memory-by-kind-mb":[16384],"dop":[1,2,2],"grants":true,"largest-share":0.4,
"overbooked":"overcommit","writes-tables":[false,false,true],"yields-to-loads":[false,false,false],"progress-pace-ms":1000},
"tick-ms":5}`
