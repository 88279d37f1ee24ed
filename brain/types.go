package brain

import (
	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Idempotency says what happens if a batch runs again; the zero value is the strictest.
type Idempotency uint8

const (
	AtMostOnce   Idempotency = iota // must not run again once it may have run
	Deduplicated                    // engines drop a duplicate, recognized by its mark, within a scope and for a time
	Idempotent                      // may run any number of times
)

// DedupScope says which engines drop duplicates of a deduplicated batch; the zero value is the strictest.
type DedupScope uint8

const (
	WithinCell DedupScope = iota // engines of the cell where the batch may have run
	WithinZone                   // engines of the zone where it may have run
	WithinAll                    // all engines
)

// MemoryPolicy says what an engine does when its memory grants add up to more than its memory.
type MemoryPolicy uint8

// The zero value is the policy that needs the most caution.
const (
	Overcommit    MemoryPolicy = iota // grants more than it has
	ReduceGrant                       // grants less than was asked for
	WaitForMemory                     // queues the batch until there is enough memory
)

// ServiceGroup is one kind of batch, as the settings define it.
type ServiceGroup struct {
	Name         string
	Idempotency  Idempotency
	DedupScope   DedupScope
	DedupWindow  float64 // seconds in which engines drop duplicates of a deduplicated batch
	Goal         float64 // response time goal, seconds
	GoalStretch  float64 // the goal grows by this times the batch's work over its threads
	Limit        float64 // time limit, seconds
	Utility      float64 // of an answer within the goal; without unit
	LateShare    float64 // share of the utility that an answer past the goal still has
	Threads      float64 // degree of parallelism
	LocksDataSet bool    // a load: locks its data set on its engine
	WaitsForLock bool    // waits while a load locks its data set
	InOrder      bool    // batches of one key run in the order of their arrival
	Zones        []int   // zones where it may run; nil: any
	Kinds        []int   // kinds of engine where it may run; nil: any

	groupState
}

// Client is one of the clients that share the service.
type Client struct {
	Quota float64 // batches per second within its share, over all routers
}

// EngineKind is a kind of machine; a value of 0 is unknown. Memory is in MB.
type EngineKind struct{ Cores, Memory float64 }

// Settings configures a Router. Times are in seconds.
type Settings struct {
	Routers           int // number of routers in the fleet; 0: unknown
	Index             int // of this router in the fleet, from 0; below 0: unknown
	Zone              int // of this router
	Groups            []*ServiceGroup
	Clients           []Client
	OverQuotaUtility  float64 // utility of a batch beyond its client's quota
	EngineKinds       []EngineKind
	MaxGrantShare     float64 // largest memory grant, as a share of the engine's memory
	MemoryPolicy      MemoryPolicy
	Grants            bool    // engines take memory grants
	Priorities        bool    // engines take priorities
	UpdateInterval    float64 // time between two updates of a dispatch in flight; 0: none are sent
	MayCancel         bool    // dispatches may be canceled
	MayProbe          bool    // engines may be probed for their load
	MayHedge          bool    // a batch may have two dispatches in flight
	MaxRetryDelay     float64 // that a rejection may ask of a client; 0: none
	MaxDispatches     int     // of one batch
	ProbeCost         float64 // of one probe, as a share of the result of one batch
	ColdCapacityShare float64 // share of its capacity that an engine has right after its start
	SlowStartTime     float64 // until a started engine has its full capacity
	OverloadFactor    float64 // a cold engine fails if the work sent within OverloadWindow is more than
	OverloadWindow    float64 // OverloadFactor times what it can do in that time
	SettleTime        float64 // for which a key rests after an outcome that leaves open whether the dispatch still runs
	LimitRetries      bool    // the next three apply
	FreeRetries       float64 // retries that are allowed within RetryWindow in any case
	RetryRatio        float64 // retries allowed beyond that for each batch that arrives within RetryWindow
	RetryWindow       float64
	MustSubscribe     bool    // the list of engines comes only after a Subscribe
	Tick              float64 // time until a decision takes effect
}

// Phase is the state of an engine according to the list of engines.
type Phase uint8

// An engine of unknown phase counts as Gone.
const (
	Gone     Phase = iota
	Draining       // finishes what it has and takes nothing new
	Ready
)

// Engine is one engine of the list. Hosts use the same pointer for an engine as long as the router lives.
type Engine struct {
	ID                    uint32
	Phase                 Phase
	Size                  float64 // relative to other engines; without unit
	StartedAt             float64 // start time by another machine's clock, so it only identifies the start; 0: long ago
	Cell                  int
	Kind                  int
	Zone                  int
	OneBatchPerConnection bool
	ConcurrencyLimit      limits.AdaptiveLimit // bounds the dispatches in flight there; nil: none
	RetryBudget           *limits.RetryBudget  // bounds the retries sent there; nil: none

	engineState
}

// Report is what an engine reports of its load; a value below 0 is missing. InFlight counts the batches that it runs and
// Waiting those that it queues; CPU, Memory and Disks are shares in use.
type Report struct{ InFlight, Waiting, CPU, Memory, Disks float64 }

// Batch is one request of a client.
type Batch struct {
	ID              uint64
	Group           *ServiceGroup
	Client          int           // index into Settings.Clients; -1: none
	Key             uint64        // batches of one key run in order if the group says so; 0: none
	TimeLeft        float64       // seconds until the client stops waiting
	EstimatedWork   float64       // the client's estimate, in seconds; 0: none
	EstimatedMemory float64       // the client's estimate, in MB; 0: none
	DataSet         float64       // identifies the data set that it uses
	Done            bool          // has its final answer, or its client has left
	InFlight        int           // dispatches without an outcome
	Shed            bool          // rejected by the level of reduced service
	Route           *limits.Route // the operator's limits that apply to it; nil: none
	Streaming       bool          // rows of its answer have been passed on to the client, so it is not dispatched again

	batchState
}

// Outcome is how a dispatch ended.
type Outcome uint8

// Rejected, ConnectFailed and NotSent prove that the dispatch never ran. Hosts report an outcome only once the dispatch is
// known to have ended at its engine, or report Unconfirmed; a Cancel only asks for the end. Until the outcome is
// reported, the dispatch counts as in flight.
const (
	Errored        Outcome = iota // the engine answered with an error
	Completed                     // the engine answered
	Rejected                      // the engine refused to run it
	TimedOut                      // no answer within the time of the dispatch
	ConnectFailed                 // no connection could be established
	ConnectionLost                // the connection broke after the dispatch was sent
	Canceled                      // ended after a Cancel
	NotSent                       // ended before it was sent
	// Unconfirmed: the host has given it up, but its engine may still run it. Where hedging is forbidden, the batch is not
	// dispatched again.
	Unconfirmed
)

// Update is what an engine reports of a dispatch in flight.
type Update uint8

const (
	Progress Update = iota + 1 // a share of the work is done
	Spilling                   // it spills to disk
	Waiting                    // it waits at its engine
)

// DecisionKind says what a decision asks the host to do.
type DecisionKind uint8

const (
	NoDecision DecisionKind = iota // nothing more to do before the next event
	Terms                          // set Memory and Priority for the batch's next dispatch
	Dispatch                       // send Batch to Engine, with a time-out of Wait seconds
	Reject                         // final answer; the client may retry after Wait seconds (0: no advice)
	Fail                           // final answer: an error
	Cancel                         // cancel dispatch Number of Batch
	Probe                          // ask Engine for its load
	WakeAt                         // set a timer for At that calls TimerFired
	Subscribe                      // ask for the list of engines
	Log                            // write Text to the log
)

// Decision is one action for the host; which fields are set depends on its kind.
type Decision struct {
	Kind       DecisionKind
	Batch      *Batch
	Engine     *Engine
	Number     int     // index of the dispatch among those of its batch
	Wait       float64 // seconds
	SendBefore float64 // time by which a dispatch must have been sent; 0: any
	Memory     float64 // memory grant, MB
	Priority   int     // 0 to 3; 3 for the smallest batches
	At         float64 // time of the timer
	Text       string
}

// groupState holds the statistics of a group. Sums are halved from time to time, so that recent answers count more.
type groupState struct {
	estimateSum       float64 // estimated work of the batches with an estimate, seconds
	actualSum         float64 // actual work of the same batches, seconds
	estimateCount     float64 // their number
	workSum           float64 // actual work of all answered batches, seconds
	answerCount       float64 // their number
	memoryEstimateSum float64 // estimated memory of the batches with an estimate, MB
	memoryActualSum   float64 // actual memory of the same batches, MB
	memorySum         float64 // actual memory of all answered batches, MB
	stretch           histogram
	pairCount         float64 // pairs of estimated and actual work seen, up to 64
	meanLogEstimate   float64 // mean logarithm of the estimated work
	meanLogActual     float64 // mean logarithm of the actual work
	recentActual      float64 // decaying sum of actual work
	recentPredicted   float64 // decaying sum of the work that the regression predicts
}

// engineState is what the router knows of an engine.
type engineState struct {
	cores            float64
	memory           float64 // MB
	inFlight         []*dispatch
	report           Report
	reportAt         float64 // when the report last changed
	probedAt         float64 // when the last probe was sent
	probing          bool
	lastSeenAt       float64                   // when the engine last answered or sent an update
	knownStart       float64                   // StartedAt of the process that is known
	startReceivedAt  float64                   // when that start was first reported, by this router's clock
	health                                     // of the engine as a whole
	groupHealth      map[*ServiceGroup]*health // of one group's batches; reset by a restart
	reported         resources                 // according to the report: threads per core, share of memory
	othersLoad       resources                 // in flight from all other routers, as they report it
	othersValidUntil float64                   // until when othersLoad is believed
}

// health counts the outcomes of dispatches at an engine.
type health struct {
	successes           float64 // halved from time to time
	failures            float64 // halved from time to time, and decays
	consecutiveFailures float64 // since the last success
	lastFailureAt       float64
	ejectedUntil        float64 // 0: not ejected
	backoff             float64 // length of the last ejection, seconds
	ejectedAt           float64
}

// batchState is what the router knows of a batch.
type batchState struct {
	receivedAt      float64
	timeAlone       float64 // seconds that it needs on an idle engine
	demand          float64 // estimated work, seconds
	memoryNeed      float64 // estimated memory, MB
	likelyWork      float64 // most likely work in seconds, charged to the quotas of cold engines
	usefulUntil     float64 // an answer after this time has no utility
	deadline        float64 // of the final answer
	reconsiderAt    float64 // it is not dispatched before
	quotaWantedAt   float64 // when quota was first wanted for it
	wantsQuota      bool    // it waits for quota; a rest required by its route ends that
	dispatches      []*dispatch
	keyQueue        *keyQueue
	mayHaveRunOn    *Engine // where it may have run first; nil: it has not run
	mayHaveRunSince float64 // when it was sent there
	unconfirmed     bool    // a dispatch of it may still run although it counts as ended
}

// dispatch is one attempt to run a batch on an engine.
type dispatch struct {
	batch           *Batch
	engine          *Engine
	number          int // index among the dispatches of its batch
	resources       resources
	sentAt          float64
	progressAt      float64 // when the progress was last reported
	lastUpdateAt    float64 // when the last update came
	progress        float64 // share done, as last reported
	pausedBefore    float64 // Router.totalPause when it was sent
	ended           bool
	cancelRequested bool
	outcome         Outcome // once ended
}

// resources is what batches use: their number, threads and memory in MB; or, per engine, threads per core and a share
// of its memory.
type resources struct{ batches, threads, memory float64 }

// keyQueue holds the batches of one key in the order of their arrival.
type keyQueue struct {
	batches    []*Batch
	inFlight   int     // dispatches in flight
	restUntil  float64 // no batch but restExempt is dispatched before
	restExempt *Batch  // the batch whose dispatch caused the rest
}

// histogram has one bin for each factor of the square root of 2 of a ratio, from 0.7 to 45. All bins are halved when the
// total reaches 256.
type histogram struct {
	bins  [13]float64
	total float64
}

// Router makes the decisions of one router; see the package comment for its use.
type Router struct {
	groups             []*ServiceGroup
	routerCount        float64
	index              int
	engineKinds        []EngineKind
	maxGrantShare      float64
	grantFactor        float64 // factor of memory grants beyond the need
	grants             bool
	priorities         bool
	mayCancel          bool
	mayProbe           bool
	mayHedge           bool
	mustSubscribe      bool // a Subscribe decision is due
	limitRetries       bool
	retryDelay         float64               // that rejections ask of clients, seconds
	maxDispatches      int                   // of one batch
	batchesPerProbe    float64               // own batches that pay for one probe
	slowStartTime      float64               // seconds
	largestMemory      float64               // of any engine, MB; 0: unknown
	fixedQuota         shares.FixedConfig    // how work for cold engines is divided without a coordinator
	quota              shares.ColdStartQuota // this router's share of the work for cold engines
	stopping           bool                  // the quota is no longer used: another process may use the same share
	quotaOnDemand      bool                  // the quota is moved to the routers that want it
	quotaLackingEngine *Engine               // the engine whose quota the batch last looked at lacks; nil: none
	quotaLackingScore  float64               // and its score
	quotaSharers       float64               // number of routers that have a share
	settleTime         float64               // seconds
	tick               float64               // seconds
	updateInterval     float64               // seconds
	freeRetries        float64
	retryRatio         float64
	retryWindow        float64 // seconds

	now                float64
	startedAt          float64
	randomState        uint64
	engines            []*Engine
	queue              []*Batch  // by demand, the smallest first
	arrivals           []float64 // times of the batches added within retryWindow
	retries            []float64 // times of the retries within retryWindow
	keyQueues          map[uint64]*keyQueue
	load               float64   // of the fleet, from 0 to maxLoad
	lastPause          float64   // length of the last pause of this process, seconds
	lastPauseAt        float64   // when the last pause was noticed
	totalPause         float64   // sum of all pauses, seconds
	ownLoad            resources // recent average of own dispatches in flight
	typicalBatch       resources // average of own batches, weighted by their time alone
	averageLoad        resources // of an engine: threads per core, share of memory
	averageLoadAt      float64   // when a report last updated averageLoad
	reportedShare      float64   // share of the engines with a fresh report
	similarRouters     float64   // routers that probably act on a report similar to one of ours
	admissionThreshold float64   // threads per core
	meanDemand         float64   // seconds
	estimateVariance   float64   // of the logarithms of estimated work
	estimateCovariance float64   // of the logarithms of estimated and actual work
	gateOpensAt        float64   // nothing is dispatched before
	sweptAt            float64
	nextSweepAt        float64
	mostEjected        bool       // most engines are ejected
	pending            []Decision // to be returned by Next
	probeCredit        float64    // batches that may still be spent on probes
	wakeAt             float64    // of the timer that is set; infinite: none
	reduced            ReducedService
	retryBudget        *limits.RetryBudget // bounds the retries of all batches; nil: none
}
