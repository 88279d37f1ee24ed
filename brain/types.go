package brain

import (
	"pitchfield/internal/limits"
	"pitchfield/internal/shares"
)

// Effect says what a repeat of a batch would do; the zero value is the strictest.
type Effect uint8

// The three effects.
const (
	OnceOnly Effect = iota
	Referenced
	Repeatable
)

// Scope says which engines drop the repeats of a referenced batch; the zero value is the strictest.
type Scope uint8

// The three scopes.
const (
	WithinCell Scope = iota
	WithinZone
	WithinAll
)

// Shortage says what an engine does when grants pass its memory.
type Shortage uint8

// The three ways; the zero value is the one that asks most care.
const (
	Overcommit Shortage = iota
	CutGrant
	LineUp
)

// ServiceGroup is one kind of batch, as settings state it.
type ServiceGroup struct {
	Name        string
	Effect      Effect
	Scope       Scope
	Window      float64 // seconds in which repeats are dropped
	Goal        float64 // response goal, seconds
	GoalStretch float64 // the goal grows by this times work over threads
	Limit       float64 // time limit, seconds
	Utility     float64
	LateShare   float64 // part of the utility that an answer past the goal still earns
	Threads     float64
	Load        bool // holds its data set on its engine
	Waits       bool // stands still while a load holds its data set
	InOrder     bool
	Zones       []int // nil: any
	Kinds       []int // nil: any

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
	Routers        int
	Index          int // own number among them, from 0; below 0: not told
	Zone           int
	Groups         []*ServiceGroup
	Clients        []Client
	OverShare      float64 // utility of a batch beyond its client's share
	EngineKinds    []EngineKind
	LargestGrant   float64 // share of an engine's memory
	Shortage       Shortage
	Grants         bool
	Priorities     bool
	NotesEvery     float64
	MayCancel      bool
	MayProbe       bool
	MayCopy        bool
	LongestDefer   float64 // that a pushback may tell a client to stay away; 0: it may not
	MostDispatches int
	ProbePrice     float64
	ColdFrom       float64
	ColdTime       float64
	FallMultiple   float64
	FallTime       float64
	SettleTime     float64
	Rationed       bool // further dispatches have a budget
	FreeFurther    float64
	FurtherShare   float64
	FurtherWindow  float64
	MustAsk        bool // the list of engines comes only when asked for
	Tick           float64
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
	ID        uint32
	Phase     Phase
	Size      float64 // a number without unit, to be compared with other engines'
	StartedAt float64 // by another machine's clock, so that it only names the start; 0: long ago
	Cell      int
	Kind      int
	Zone      int
	Alone     bool            // it takes one batch at a time on a connection
	Limit     limits.Adaptive // of what is out there; nil: none
	Further   *limits.Budget  // of further dispatches there; nil: none

	engineState
}

// Report is what an engine says of its load; what is absent is below 0.
type Report struct{ Held, Waiting, Busy, Memory, Disks float64 }

// Batch is one client's try.
type Batch struct {
	ID      uint64
	Group   *ServiceGroup
	Client  int // -1: none
	Key     uint64
	Left    float64       // seconds until the client stops waiting
	Cost    float64       // told work in seconds; 0: none
	Memory  float64       // told need in MB; 0: none
	Tables  float64       // its data set
	Over    bool          // finally answered or gone
	Out     int           // dispatches without an outcome
	Shed    bool          // the level of reduced service did not take it
	Route   *limits.Route // the operator's limits that it was taken under; nil: none
	Streams bool          // rows of its answer have gone out

	batchState
}

// Ending is how a dispatch ended.
type Ending uint8

// The endings; TurnedAway, Unconnected and NotSent prove that it never ran. Hosts tell an ending once the attempt is known to have
// ended at its engine, or tell that it is Unconfirmed; a Cancel only asks for that. Until then it is out.
const (
	Errored Ending = iota
	Returned
	TurnedAway
	TimedOut
	Unconnected
	Broken
	Withdrawn
	NotSent
	Unconfirmed // ours is over and its engine may still be at it: nothing is sent beside that where copies are forbidden
)

// Note is news of a dispatch that is out.
type Note uint8

// The notes.
const (
	Progress Note = iota + 1
	Spills
	Waits
)

// Kind says what a decision asks the host to do.
type Kind uint8

// The kinds; the zero value ends the pulling.
const (
	Nothing   Kind = iota
	Terms          // Memory and Priority for the batch's next dispatch
	Dispatch       // Batch to Engine, within Wait seconds
	PushBack       // final; the client may come back after Wait seconds (0: no advice)
	Fail           // final
	Cancel         // dispatch Number of Batch
	Probe          // Engine
	WakeAt         // call the router again at At
	Subscribe      // to the list of engines
	Log            // Text
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind     Kind
	Batch    *Batch
	Engine   *Engine
	Number   int
	Wait     float64
	By       float64 // a dispatch must be on its way before; 0: whenever its connection is there
	Memory   float64
	Priority int
	At       float64
	Text     string
}

// What the module keeps with its objects; the host leaves it alone.

type groupState struct {
	told, needed, seen         float64 // sums of told and true work of what was told, halved from time to time
	work, count                float64 // sum of true work, and of how many
	memTold, memNeeded, memory float64 // the same for memory, and its plain sum
	stretch                    histogram
	pairs                      float64 // of told and true work, up to a number
	logTold, logTrue           float64 // their mean logarithms
	trueSum, flatSum           float64 // of true work, and of what told work flattened by the slope says
}

type engineState struct {
	cores, memory      float64
	outs               []*dispatch
	report             Report
	reportAt, probedAt float64 // when the report last changed, when a probe last went out
	probing            bool
	signAt             float64                   // last sign of life
	started            float64                   // StartedAt of the process that is known, and
	startHeardAt       float64                   // when that was first heard of
	health                                       // in all
	by                 map[*ServiceGroup]*health // and for one group's batches; a restart voids it
	told               amount                    // by the report: threads a core, share of memory
	others             amount                    // out of all other routers, as they tell it,
	othersTo           float64                   // and until when that holds
}

// health is how an engine does by the endings of its dispatches.
type health struct {
	good, bad           float64 // halved from time to time; bad ones are forgotten too
	row, badAt          float64 // bad ones since the last good one, and when the last came
	asideUntil, backoff float64 // set aside; 0: not
	asideAt             float64
}

type batchState struct {
	taken, alone, demand, memory float64
	likely                       float64 // work that it most likely needs
	endAt, limitAt, redrawAt     float64
	wantAt                       float64 // when a part was first wanted for it
	wants                        bool    // it was put off for want of one; a rest by its route ends that
	dispatches                   []*dispatch
	lane                         *lane
	bound                        *Engine // may have run there
	boundAt                      float64
	unconfirmed                  bool // an attempt of it may still be out
}

type dispatch struct {
	batch         *Batch
	engine        *Engine
	number        int
	takes         amount
	sent, shareAt float64
	noteAt        float64 // of the last news
	share         float64 // share done, as last told
	still         float64 // how long this router had stood still before
	ended, cancel bool
	end           Ending // once ended
}

// amount is what some batches take: their number, threads and memory, or the last two against an engine's.
type amount struct{ batches, threads, memory float64 }

// lane is the line of the batches of one key.
type lane struct {
	line   []*Batch
	out    int
	restTo float64
	restBy *Batch
}

// histogram has one bin for each half doubling of a ratio, from 0.7 to 45; it halves as it fills.
type histogram struct {
	bins  [13]float64
	total float64
}

// Router decides for one router. Its first figures are derived from the settings, once.
type Router struct {
	groups                 []*ServiceGroup
	routers                float64
	index                  int
	kinds                  []EngineKind
	largestGrant, generous float64
	grants, priorities     bool
	mayCancel, mayProbe    bool
	mayCopy                bool
	mustAsk, rationed      bool
	comeBack               float64
	most                   int     // dispatches of a batch
	probeEvery             float64 // own batches that pay for a probe
	coldTime               float64
	largest                float64               // memory of any engine; 0: not told
	fixed                  shares.FixedConfig    // how work for cold engines is divided without talk
	parts                  shares.ColdStartQuota // our part of it
	leaving                bool                  // it is no longer used: another process may go by the same part
	moved                  bool                  // it goes to where it is wanted
	lack                   *Engine               // of which a batch that was just looked at wants a part,
	least                  float64               // and its figure
	sharers                float64               // routers of which each has a part
	settle, tick           float64
	notesEvery             float64
	freeFurther, further   float64
	furtherWindow          float64

	now, started   float64
	random         uint64
	engines        []*Engine
	held           []*Batch // by demand, the smallest first
	takes          []float64
	furthers       []float64
	lanes          map[uint64]*lane
	load           float64
	stood, stoodAt float64 // how long this router last stood still, and when it saw
	still          float64 // all its standstills
	out            amount  // own dispatches out, lately
	like           amount  // what our batches are like, each by its time alone
	common         amount  // what an engine holds on average
	commonAt       float64 // when a report last told of that
	sight          float64 // share of the engines with a believed report
	alike          float64 // routers that are likely to act on the like of a report of ours
	mark           float64
	meanDemand     float64
	spread, both   float64 // of the logarithms of told work, and with true work
	gateAt         float64 // the gate stays shut until then
	swept, sweepAt float64
	shaken         bool // most engines are set aside
	next           []Decision
	probeCredit    float64
	wakeAt         float64
	level          Reduced
	all            *limits.Budget // of further dispatches of all batches; nil: none
}
