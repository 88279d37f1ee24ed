package torture

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/standin"
)

var program string

// The real program is built once; the plays start it.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "torture")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "pitchfield")
	if out, err := exec.Command("go", "build", "-o", program, "pitchfield/cmd/pitchfield").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func TestAHandfulOfSeedsBreaksNoRule(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ { // in turn: other packages' rigs want the machine too
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r, err := Run(Options{Program: program, Seed: seed, Duration: 4 * time.Second, Clients: 12, Folder: t.TempDir()})
			require.NoError(t, err)
			assert.Empty(t, r.Findings, "%s", r.Steps)
			assert.Greater(t, len(r.Batches), 200)
			t.Log(r.Counts())
		})
	}
}

// Three routers before the same engines, with links that are cut, processes killed and stopped by the several.
func TestAHandfulOfSeedsOfAFleetBreaksNoRule(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r, err := Run(Options{Program: program, Seed: seed, Duration: 5 * time.Second, Clients: 12, Routers: 3, Folder: t.TempDir()})
			require.NoError(t, err)
			for _, f := range r.Findings {
				t.Error(f, r.LogLines(f))
			}
			assert.Greater(t, len(r.Batches), 200)
			t.Log(r.Counts(), r.Steps)
		})
	}
}

// The same with talk: when nothing goes wrong any more they agree on who is there, and again after one has died.
func TestPeersAgreeOnMembers(t *testing.T) {
	for seed := uint64(11); seed <= 13; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r, err := Run(Options{Program: program, Seed: seed, Duration: 4 * time.Second, Clients: 8, Routers: 4, PeerMessaging: true, Folder: t.TempDir()})
			require.NoError(t, err)
			for _, f := range r.Findings {
				t.Error(f, r.LogLines(f))
			}
			t.Log(r.Counts(), r.Steps)
		})
	}
}

// And with what cold engines bear divided by talk: together they never send one more than that, whoever dies or is cut off.
func TestQuotaSharesNeverExceedTheTotal(t *testing.T) {
	for seed := uint64(4); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r, err := Run(Options{Program: program, Seed: seed, Duration: 7 * time.Second, Clients: 12, Routers: 3, PeerMessaging: true, QuotaShares: true, FirmShare: 0.1,
				Folder: t.TempDir()})
			require.NoError(t, err)
			for _, f := range r.Findings {
				t.Error(f, r.LogLines(f))
			}
			t.Log(r.Counts(), r.Usages()[0].Max, r.Steps)
		})
	}
}

// A second process under the name and number of a router goes by that router's part of what a cold engine bears, so that all
// together may send it more than the whole.
func TestDuplicateProcessOverloadsNoColdEngine(t *testing.T) {
	r, err := Run(Options{Program: program, Seed: 6, Duration: 12 * time.Second, Routers: 4, Folder: t.TempDir()})
	require.NoError(t, err)
	for _, f := range r.Findings {
		t.Error(f)
	}
}

// The soak: ten real processes, faults that overlap, system calls that fail among them.
func TestASoakBreaksNoRule(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ { // the third has a crowd
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r, err := Run(Options{Program: program, Seed: seed, Duration: 6 * time.Second, Clients: 16, Routers: 10, Soak: true, Folder: t.TempDir()})
			require.NoError(t, err)
			for _, f := range r.Findings {
				t.Error(f, r.LogLines(f))
			}
			assert.NotZero(t, r.FailedCalls, "system calls")
			t.Log(r.Counts(), r.Steps)
		})
	}
}

func TestTheSameSeedDrawsTheSameScript(t *testing.T) {
	assert.Equal(t, Script(7, 10*time.Second, 1), Script(7, 10*time.Second, 1))
	assert.NotEqual(t, Script(7, 10*time.Second, 1), Script(8, 10*time.Second, 1))
	for _, s := range Script(9, 30*time.Second, 1) {
		assert.NotContains(t, []Fault{Pause, Kill, Restart}, s.Fault, "every third seed reloads only")
	}
}

// The checker bites: each of these is a defect that a router could have.
func TestCheckerFindsEachViolation(t *testing.T) {
	second := time.Second
	began := time.Now()
	fleet := map[string]Engine{"": {Zone: zones[0]}, "drains": {Zone: zones[0]}, "cold": {Zone: zones[1], Started: began}}
	lives := []Incarnation{{Began: 0, Terminated: 20 * second, Ended: 21 * second, Exit: "exit status 0"}}
	good := func() *Batch {
		return &Batch{ID: "a", Group: "lookup", Rows: 1, WriteBegan: second, Deadline: 5 * second,
			Answers: []Answer{{At: 2 * second, Body: "e-1\tlookup\trow 0\n"}}}
	}
	run := func(id, group, key string, from, to time.Duration) standin.Run {
		return standin.Run{ID: id, Group: group, Key: key, Began: began.Add(from), Ended: began.Add(to), Settled: began.Add(to)}
	}
	budget := func(left time.Duration, r standin.Run) standin.Run { r.Budget = left; return r }
	out := func(r standin.Run) standin.Run { r.Settled = time.Time{}; return r }
	at := func(engine string, r standin.Run) standin.Run { r.Engine = engine; return r }
	work := func(long time.Duration, r standin.Run) standin.Run { r.Step.After = long; return r }
	var many []standin.Run
	for i := range 30 {
		began := 2*second + time.Duration(i%2)*second + time.Duration(i) // the further one after the first has ended
		many = append(many, run(fmt.Sprint("m", i/2), "lookup", "", began, began+second/2))
	}
	one := []standin.Run{run("a", "lookup", "", second, 2*second)}
	told := map[string]time.Duration{"drains": second}
	check := func(lives []Incarnation, runs []standin.Run, batches ...*Batch) []Finding {
		return Check(&Result{Batches: batches, Routers: []Router{{Name: "r0", Incarnations: lives, DrainReported: told, IdleFloods: []Interval{{From: 0, To: second - second/100}}}}, Runs: runs, Engines: fleet, Began: began})
	}
	assert.Empty(t, check(lives, one, good()))
	for name, c := range map[string]struct {
		rule  int
		edit  func(b *Batch)
		lives []Incarnation
		runs  []standin.Run
	}{
		"never answered":       {rule: 1, edit: func(b *Batch) { b.Answers = nil }},
		"its connection ended": {rule: 1, edit: func(b *Batch) { b.Answers, b.ConnectionEnded, b.ConnectionError = nil, 2*second, "EOF" }},
		"lost in a stop":       {rule: 1, edit: func(b *Batch) { b.Answers, b.WriteBegan, b.ConnectionEnded = nil, 19*second, 21*second }},
		"answered twice":       {rule: 1, edit: func(b *Batch) { b.Answers = append(b.Answers, b.Answers[0]) }},
		"a row lost":           {rule: 1, edit: func(b *Batch) { b.Rows = 2 }},
		"another's rows":       {rule: 1, edit: func(b *Batch) { b.Answers[0].Body = "e-1\treport\trow 0\n" }},
		"it crashed":           {rule: 0, lives: []Incarnation{{Ended: 7 * second, Exit: "exit status 2"}}},
		"it hangs in a stop":   {rule: 0, lives: []Incarnation{{Terminated: 6 * second, Killed: 18 * second, Ended: 18 * second}}},
		"closed, later killed": {rule: 1, edit: func(b *Batch) { b.Answers, b.ConnectionEnded = nil, 2*second }, lives: []Incarnation{{Killed: 3 * second, Ended: 3 * second}}},
		"ended before a stop":  {rule: 0, lives: []Incarnation{{Ended: 7 * second, Terminated: 9 * second, Exit: "exit status 0"}}},
		"it ended by itself":   {rule: 0, lives: []Incarnation{{Ended: 7 * second, Exit: "exit status 0"}}},
		"once-only ran twice":  {rule: 2, runs: []standin.Run{run("b", "once", "", 0, 1), run("b", "once", "", 2, 3)}},
		"sent four times":      {rule: 2, runs: []standin.Run{run("b", "lookup", "", 0, 1), run("b", "lookup", "", 2, 3), run("b", "lookup", "", 4, 5), run("b", "lookup", "", 6, 7)}},
		"two of a key at once": {rule: 5, runs: []standin.Run{run("b", "upload", "k", 0, 2*second), run("c", "upload", "k", second, 3*second)}},
		"a key did not rest": {rule: 5, runs: []standin.Run{{ID: "b", Group: "upload", Key: "k", Began: began, Ended: began.Add(second),
			Step: standin.Step{Action: standin.CloseUnanswered}}, run("c", "upload", "k", second+100*time.Millisecond, 3*second)}},
		"mark forgotten":        {rule: 2, runs: []standin.Run{run("b", "upload", "", 0, second), run("b", "upload", "", 4*second, 5*second)}},
		"to one that drains":    {rule: 3, runs: []standin.Run{at("drains", run("b", "lookup", "", 4*second, 5*second))}},
		"a cold one pushed":     {rule: 4, runs: []standin.Run{at("cold", work(10*second, run("b", "lookup", "", 0, second)))}},
		"out of its zone":       {rule: 6, runs: []standin.Run{at("cold", run("b", "report", "", 0, second))}},
		"past the budget":       {rule: 7, runs: many},
		"after its client left": {rule: 1, edit: func(b *Batch) { b.Cancelled = 2*second + second/10 }, runs: []standin.Run{run("a", "lookup", "", 2*second+second/4, 3*second)}},
		"after its connection": {rule: 1, edit: func(b *Batch) { b.ConnectionEnded = 2*second + second/10 },
			runs: []standin.Run{run("a", "lookup", "", 2*second+second/4, 3*second)}},
		"too long a deadline":         {rule: 1, runs: []standin.Run{budget(4200*time.Millisecond, run("a", "lookup", "", 0, second))}, edit: func(b *Batch) { b.Deadline = 4 * second }},
		"beside one that is out":      {rule: 2, runs: []standin.Run{run("b", "lookup", "", second, 3*second), run("b", "lookup", "", 2*second, 4*second)}},
		"beside one never over":       {rule: 2, runs: []standin.Run{out(run("b", "lookup", "", second, 2*second)), run("b", "lookup", "", 3*second, 4*second)}},
		"asked for long after a stop": {rule: 1, edit: func(b *Batch) { b.Answers = nil }, lives: []Incarnation{{Terminated: second / 2, Ended: 21 * second, Exit: "exit status 0"}}},
		"crossed, not sent again": {rule: 1, edit: func(b *Batch) {
			b.Answers, b.ConnectionEnded, b.ConnectionError = nil, b.WriteBegan+20*time.Millisecond, "EOF"
		}},
		"past a crowd":            {rule: 1, edit: func(b *Batch) { b.Answers, b.ConnectionEnded, b.FirstOnConnection = nil, b.WriteBegan+second, true }},
		"still there at its kill": {rule: 0, lives: []Incarnation{{Terminated: 6 * second, Killed: 9700 * time.Millisecond, Ended: 9700 * time.Millisecond}}},
		"one of a key unending":   {rule: 5, runs: []standin.Run{{ID: "b", Group: "upload", Key: "k", Began: began}, run("c", "upload", "k", second, 3*second)}},
	} {
		b, l := good(), lives
		if c.edit != nil {
			c.edit(b)
		}
		if c.lives != nil {
			l = c.lives
		}
		found := check(l, append(one, c.runs...), b)
		if assert.Len(t, found, 1, name) {
			assert.Equal(t, c.rule, found[0].Rule, "%s: %s", name, found[0])
		}
	}
	old, fresh := good(), good()
	old.Answers, old.ConnectionEnded, old.ConnectionError = nil, 3*second, "EOF"
	fresh.Answers, fresh.WriteBegan, fresh.ConnectionEnded = nil, 3*second-20*time.Millisecond, 3*second
	assert.Len(t, check(lives, one, old, fresh), 2, "a close that ends an older one crosses nothing")
	for name, edit := range map[string]func(b *Batch, l *Incarnation){
		"its client left":        func(b *Batch, _ *Incarnation) { b.Cancelled = 2 * second },
		"its router was killed":  func(_ *Batch, l *Incarnation) { l.Killed = 3 * second },
		"crossed and sent again": func(b *Batch, _ *Incarnation) { b.ConnectionEnded, b.Resent = b.WriteBegan+20*time.Millisecond, true },
	} {
		b, l := good(), lives[0]
		b.Answers = nil
		edit(b, &l)
		assert.Empty(t, check([]Incarnation{l}, one, b), name)
	}
}

// The defects that 'cmd -defects' hunts still stand in the program as it is, and each rule has one.
func TestEachDefectCanBePutIn(t *testing.T) {
	defects, err := Defects()
	require.NoError(t, err)
	rules := map[int]bool{}
	for _, d := range defects {
		rules[d.Rule] = true
		require.NoError(t, d.Build("../..", "", ""))
	}
	broken := defects[0]
	broken.After = "	this is no Go"
	assert.Error(t, broken.Build("../..", "", ""), "what is put in is what is built")
	for rule := range 8 {
		assert.True(t, rules[rule], "rule %d has no defect", rule)
	}
}
