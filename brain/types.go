package brain

import (
	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Idempotency says what a repeat of a batch would do; the zero value is the strictest.
type Idempotency uint8

// The three effects.
const (
	AtMostOnce Idempotency = iota
	Deduplicated
	Idempotent
)

// DedupScope says which engines drop the repeats of a referenced batch; the zero value is the strictest.
type DedupScope uint8

// The three scopes.
const (
	WithinCell DedupScope = iota
	WithinZone
	WithinAll
)

// MemoryPolicy says what an engine does when grants pass its memory.
type MemoryPolicy uint8

// The three ways; the zero value is the one that asks most care.
const (
	Overcommit MemoryPolicy = iota
	ReduceGrant
	WaitForMemory
)

// ServiceGroup is one kind of batch, as settings state it.
type ServiceGroup struct {
	Name         string
	Idempotency  Idempotency
	DedupScope   DedupScope
	DedupWindow  float64 // seconds in which repeats are dropped
	Goal         float64 // response goal, seconds
	GoalStretch  float64 // the goal grows by this times work over threads
	Limit        float64 // time limit, seconds
	Utility      float64
	LateShare    float64 // part of the utility that an answer past the goal still earns
	Threads      float64
	LocksDataSet bool // holds its data set on its engine
	WaitsForLock bool // stands still while a load holds its data set
	InOrder      bool
	Zones        []int // nil: any
	Kinds        []int // nil: any

	groupState
}

// Client is one of those that share the service.
type Client struct {
	Quota float64 // batches a second within its share, over all routers
}

// EngineKind is a kind of machine; 0 is not told.
type EngineKind struct{ Cores, Memory float64 } // memory in MB

// Settings is what a router is told at its start. Times are seconds.
type Settings struct {
	Routers           int
	Index             int // own number among them, from 0; below 0: not told
	Zone              int
	Groups            []*ServiceGroup
	Clients           []Client
	OverQuotaUtility  float64 // utility of a batch beyond its client's share
	EngineKinds       []EngineKind
	MaxGrantShare     float64 // share of an engine's memory
	MemoryPolicy      MemoryPolicy
	Grants            bool
	Priorities        bool
	UpdateInterval    float64
	MayCancel         bool
	MayProbe          bool
	MayHedge          bool
	MaxRetryDelay     float64 // that a pushback may tell a client to stay away; 0: it may not
	MaxDispatches     int
	ProbeCost         float64
	ColdCapacityShare float64
	SlowStartTime     float64
	OverloadFactor    float64
	OverloadWindow    float64
	SettleTime        float64
	LimitRetries      bool // further dispatches have a budget
	FreeRetries       float64
	RetryRatio        float64
	RetryWindow       float64
	MustSubscribe     bool // the list of engines comes only when asked for
	Tick              float64
}

// Phase is what the list says of an engine.
type Phase uint8

// The phases; what is not known counts as gone.
const (
	Gone Phase = iota
	Draining
	Ready
)

// Engine is one engine as the list names it. The same pointer stands for it as long as a router lives.
type Engine struct {
	ID                    uint32
	Phase                 Phase
	Size                  float64 // a number without unit, to be compared with other engines'
	StartedAt             float64 // by another machine's clock, so that it only names the start; 0: long ago
	Cell                  int
	Kind                  int
	Zone                  int
	OneBatchPerConnection bool                 // it takes one batch at a time on a connection
	ConcurrencyLimit      limits.AdaptiveLimit // of what is out there; nil: none
	RetryBudget           *limits.RetryBudget  // of further dispatches there; nil: none

	engineState
}

// Report is what an engine says of its load; what is absent is below 0.
type Report struct{ InFlight, Waiting, CPU, Memory, Disks float64 }

// Batch is one client's try.
type Batch struct {
	ID              uint64
	Group           *ServiceGroup
	Client          int // -1: none
	Key             uint64
	TimeLeft        float64       // seconds until the client stops waiting
	EstimatedWork   float64       // told work in seconds; 0: none
	EstimatedMemory float64       // told need in MB; 0: none
	DataSet         float64       // its data set
	Done            bool          // finally answered or gone
	InFlight        int           // dispatches without an outcome
	Shed            bool          // the level of reduced service did not take it
	Route           *limits.Route // the operator's limits that it was taken under; nil: none
	Streaming       bool          // rows of its answer have gone out

	batchState
}

// Outcome is how a dispatch ended.
type Outcome uint8

// The endings; TurnedAway, Unconnected and NotSent prove that it never ran. Hosts tell an ending once the attempt is known to have
// ended at its engine, or tell that it is Unconfirmed; a Cancel only asks for that. Until then it is out.
const (
	Errored Outcome = iota
	Completed
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Canceled
	NotSent
	Unconfirmed // ours is over and its engine may still be at it: nothing is sent beside that where copies are forbidden
)

// Update is news of a dispatch that is out.
type Update uint8

// The notes.
const (
	Progress Update = iota + 1
	Spilling
	Waiting
)

// DecisionKind says what a decision asks the host to do.
type DecisionKind uint8

// The kinds; the zero value ends the pulling.
const (
	NoDecision DecisionKind = iota
	Terms                   // Memory and Priority for the batch's next dispatch
	Dispatch                // Batch to Engine, within Wait seconds
	Reject                  // final; the client may come back after Wait seconds (0: no advice)
	Fail                    // final
	Cancel                  // dispatch Number of Batch
	Probe                   // Engine
	WakeAt                  // call the router again at At
	Subscribe               // to the list of engines
	Log                     // Text
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind       DecisionKind
	Batch      *Batch
	Engine     *Engine
	Number     int
	Wait       float64
	SendBefore float64 // a dispatch must be on its way before; 0: whenever its connection is there
	Memory     float64
	Priority   int
	At         float64
	Text       string
}

// What the module keeps with its objects; the host leaves it alone.

type groupState struct {
	estimateSum, actualSum, estimateCount         float64 // sums of told and true work of what was told, halved from time to time
	workSum, answerCount                          float64 // sum of true work, and of how many
	memoryEstimateSum, memoryActualSum, memorySum float64 // the same for memory, and its plain sum
	stretch                                       histogram
	pairCount                                     float64 // of told and true work, up to a number
	meanLogEstimate, meanLogActual                float64 // their mean logarithms
	recentActual, recentPredicted                 float64 // of true work, and of what told work flattened by the slope says
}

type engineState struct {
	cores, memory      float64
	inFlight           []*dispatch
	report             Report
	reportAt, probedAt float64 // when the report last changed, when a probe last went out
	probing            bool
	lastSeenAt         float64                   // last sign of life
	knownStart         float64                   // StartedAt of the process that is known, and
	startReceivedAt    float64                   // when that was first heard of
	health                                       // in all
	groupHealth        map[*ServiceGroup]*health // and for one group's batches; a restart voids it
	reported           resources                 // by the report: threads a core, share of memory
	othersLoad         resources                 // out of all other routers, as they tell it,
	othersValidUntil   float64                   // and until when that holds
}

// health is how an engine does by the endings of its dispatches.
type health struct {
	successes, failures                float64 // halved from time to time; bad ones are forgotten too
	consecutiveFailures, lastFailureAt float64 // bad ones since the last good one, and when the last came
	ejectedUntil, backoff              float64 // set aside; 0: not
	ejectedAt                          float64
}

type batchState struct {
	receivedAt, timeAlone, demand, memoryNeed float64
	likelyWork                                float64 // work that it most likely needs
	usefulUntil, deadline, reconsiderAt       float64
	quotaWantedAt                             float64 // when a part was first wanted for it
	wantsQuota                                bool    // it was put off for want of one; a rest by its route ends that
	dispatches                                []*dispatch
	keyQueue                                  *keyQueue
	mayHaveRunOn                              *Engine // may have run there
	mayHaveRunSince                           float64
	unconfirmed                               bool // an attempt of it may still be out
}

type dispatch struct {
	batch                  *Batch
	engine                 *Engine
	number                 int
	resources              resources
	sentAt, progressAt     float64
	lastUpdateAt           float64 // of the last news
	progress               float64 // share done, as last told
	pausedBefore           float64 // how long this router had stood still before
	ended, cancelRequested bool
	outcome                Outcome // once ended
}

// resources is what some batches take: their number, threads and memory, or the last two against an engine's.
type resources struct{ batches, threads, memory float64 }

// keyQueue is the line of the batches of one key.
type keyQueue struct {
	batches    []*Batch
	inFlight   int
	restUntil  float64
	restExempt *Batch
}

// histogram has one bin for each half doubling of a ratio, from 0.7 to 45; it halves as it fills.
type histogram struct {
	bins  [13]float64
	total float64
}

// Router decides for one router. Its first figures are derived from the settings, once.
type Router struct {
	groups                      []*ServiceGroup
	routerCount                 float64
	index                       int
	engineKinds                 []EngineKind
	maxGrantShare, grantFactor  float64
	grants, priorities          bool
	mayCancel, mayProbe         bool
	mayHedge                    bool
	mustSubscribe, limitRetries bool
	retryDelay                  float64
	maxDispatches               int     // dispatches of a batch
	batchesPerProbe             float64 // own batches that pay for a probe
	slowStartTime               float64
	largestMemory               float64               // memory of any engine; 0: not told
	fixedQuota                  shares.FixedConfig    // how work for cold engines is divided without talk
	quota                       shares.ColdStartQuota // our part of it
	stopping                    bool                  // it is no longer used: another process may go by the same part
	quotaOnDemand               bool                  // it goes to where it is wanted
	quotaLackingEngine          *Engine               // of which a batch that was just looked at wants a part,
	quotaLackingScore           float64               // and its figure
	quotaSharers                float64               // routers of which each has a part
	settleTime, tick            float64
	updateInterval              float64
	freeRetries, retryRatio     float64
	retryWindow                 float64

	now, startedAt                       float64
	randomState                          uint64
	engines                              []*Engine
	queue                                []*Batch // by demand, the smallest first
	arrivals                             []float64
	retries                              []float64
	keyQueues                            map[uint64]*keyQueue
	load                                 float64
	lastPause, lastPauseAt               float64   // how long this router last stood still, and when it saw
	totalPause                           float64   // all its standstills
	ownLoad                              resources // own dispatches out, lately
	typicalBatch                         resources // what our batches are like, each by its time alone
	averageLoad                          resources // what an engine holds on average
	averageLoadAt                        float64   // when a report last told of that
	reportedShare                        float64   // share of the engines with a believed report
	similarRouters                       float64   // routers that are likely to act on the like of a report of ours
	admissionThreshold                   float64
	meanDemand                           float64
	estimateVariance, estimateCovariance float64 // of the logarithms of told work, and with true work
	gateOpensAt                          float64 // the gate stays shut until then
	sweptAt, nextSweepAt                 float64
	mostEjected                          bool // most engines are set aside
	pending                              []Decision
	probeCredit                          float64
	wakeAt                               float64
	reduced                              ReducedService
	retryBudget                          *limits.RetryBudget // of further dispatches of all batches; nil: none
}
