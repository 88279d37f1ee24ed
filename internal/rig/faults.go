package rig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"pitchfield/internal/standin"
	"pitchfield/internal/traffic"
)

// The fault script: the same stories over both protocols, each in a world of its own. What has to hold is checked on
// what the engines noted and on what clients got, never on what the router says of itself.

// line is one row of the table: what came of a fault over one protocol.
type line struct {
	Fault, Group, Protocol string
	Batches                int
	Answers                int // final ones; batches whose client has left count as answered on record
	Endings                string
	Dispatches             int // the most of any batch
	Broken                 []string
}

const (
	graceTime  = 250 * time.Millisecond // within which a drain must be followed
	settleTime = 300 * time.Millisecond // of rest after doubt, as Groups has it
	workTime   = 5 * time.Millisecond
)

// story is a fault played over a protocol.
type story struct {
	name string
	play func(protocol string) ([]line, error)
}

func stories() (out []story) {
	for d := standin.Reject; d <= standin.EndlessAnswer; d++ {
		out = append(out, story{d.String(), func(p string) ([]line, error) { return deed(p, d) }})
	}
	return append(out, story{"client leaves", leaving}, story{"client cuts", cutting}, story{"keys in doubt", keys},
		story{"engine drains", drain}, story{"stop", stopping}, story{"reload", reloading}, story{"small", small})
}

// Faults plays all stories over both protocols and gives a table. It is an error if a rule broke, or if the protocols
// ended differently.
func Faults() (string, error) {
	var all sync.WaitGroup
	list := stories()
	lines, errs := make([][2][]line, len(list)), make([][2]error, len(list))
	room := make(chan struct{}, 6) // worlds at a time
	for i, s := range list {
		for k, p := range []string{"frames", "tds"} {
			all.Go(func() {
				room <- struct{}{}
				lines[i][k], errs[i][k] = s.play(p)
				<-room
			})
		}
	}
	all.Wait()
	var out strings.Builder
	out.WriteString("| fault | group | protocol | batches | final answers | endings | dispatches at most | rules broken |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	var wrong []error
	for i, s := range list {
		wrong = append(wrong, errs[i][0], errs[i][1])
		for k := range max(len(lines[i][0]), len(lines[i][1])) {
			var endings []string
			for side := range 2 {
				if k >= len(lines[i][side]) {
					continue
				}
				l := lines[i][side][k]
				endings = append(endings, l.Endings)
				broken := "none"
				if len(l.Broken) > 0 {
					broken = strings.Join(l.Broken, "; ")
					wrong = append(wrong, fmt.Errorf("%s, %s, %s: %s", l.Fault, l.Group, l.Protocol, broken))
				}
				fmt.Fprintf(&out, "| %s | %s | %s | %d | %d | %s | %d | %s |\n", l.Fault, l.Group, l.Protocol, l.Batches, l.Answers,
					l.Endings, l.Dispatches, broken)
			}
			if len(endings) != 2 || endings[0] != endings[1] {
				wrong = append(wrong, fmt.Errorf("%s: the protocols end differently: %s", s.name, strings.Join(endings, " and ")))
			}
		}
	}
	return out.String(), errors.Join(wrong...)
}

// engines of one protocol, or of both.
func options(protocol string, l *standin.Fleet) Options {
	if l.MarkMemory == 0 {
		l.MarkMemory = time.Minute
	}
	o := Options{Ledger: l}
	if protocol == "tds" {
		o.TDS = 2
	} else {
		o.RESP = 2
	}
	return o
}

// effects tells what a group's repeats do.
var effects = map[string]string{"lookup": "repeatable", "report": "repeatable", "once": "once-only", "upload": "referenced"}

// judge checks the rules on all that a world's engines noted, and sums up.
func judge(l line, runs []standin.Run, endings []Ending) line {
	l.Batches, l.Answers = len(endings), 0
	counts := map[string]int{}
	for _, e := range endings {
		if !e.Lost {
			l.Answers++
		}
		counts[e.String()]++
		if e.Lost || e.Twice {
			l.Broken = append(l.Broken, "1: "+e.String()+" "+e.Why)
		}
	}
	var parts []string
	for _, name := range []string{"returned", "pushed back", "errored", "left", "lost", "twice"} {
		if n := counts[name]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, name))
		}
	}
	l.Endings = strings.Join(parts, ", ")
	dispatches, ran := map[string]int{}, map[string]int{}
	for _, r := range runs {
		dispatches[r.ID]++
		l.Dispatches = max(l.Dispatches, dispatches[r.ID])
		if r.Step.Action == standin.Reject || r.Duplicate {
			continue
		}
		switch effects[r.Group] {
		case "once-only":
			ran[r.ID]++
		case "referenced":
			ran[r.Mark]++
		}
	}
	if l.Dispatches > 3 {
		l.Broken = append(l.Broken, fmt.Sprintf("2: %d dispatches", l.Dispatches))
	}
	for what, n := range ran {
		if n > 1 {
			l.Broken = append(l.Broken, fmt.Sprintf("2: %s ran %d times", what, n))
		}
	}
	byKey := map[string][]standin.Run{}
	for _, r := range runs {
		if r.Key != "" && r.Step.Action != standin.Reject && !r.Duplicate {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
		for i := 1; i < len(list); i++ {
			before := list[i-1]
			if before.Ended.IsZero() || list[i].Began.Before(before.Ended) {
				l.Broken = append(l.Broken, "5: two of key "+key+" at a time")
			}
			if list[i].Text < before.Text { // texts of a key are numbered
				l.Broken = append(l.Broken, "5: key "+key+" out of order")
			}
		}
	}
	return l
}

func mark(n int) string { return fmt.Sprintf("%032x", n+1) }

// deed: the first dispatch of a batch meets a fault, in each kind of group.
func deed(protocol string, d standin.Action) (out []line, err error) {
	for _, group := range []string{"lookup", "once", "upload"} {
		ledger := &standin.Fleet{Script: func(r standin.Run, count int) standin.Step {
			act := standin.Step{After: workTime}
			if strings.Contains(r.Text, "faulty") && count == 0 {
				act.Action = d
			}
			return act
		}}
		w, err := Start(options(protocol, ledger))
		if err != nil {
			return out, err
		}
		var endings []Ending
		for n := range 3 { // a usual one, the one with the fault, a usual one: what the fault leaves behind shows there
			text := fmt.Sprintf("SELECT %d FROM sales_1.orders", n)
			if n == 1 {
				text = "SELECT 1 AS faulty FROM sales_1.orders"
			}
			s := Spec{Group: group, Text: text, Limit: 3 * time.Second}
			if group == "upload" {
				s.Mark = mark(n)
			}
			endings = append(endings, play(protocol, w, s))
		}
		l := judge(line{Fault: d.String(), Group: group, Protocol: protocol}, ledger.Runs(), endings)
		out = append(out, l)
		if err := w.Stop(); err != nil {
			return out, err
		}
	}
	return out, nil
}

// leaving and cutting: a client of an upload gives up, or its connection ends. The key rests, order holds, and a repeat
// under the same mark runs nothing twice.
func leaving(protocol string) ([]line, error) { return gone(protocol, "client leaves", asker.leave) }

func cutting(protocol string) ([]line, error) { return gone(protocol, "client cuts", asker.Close) }

func gone(protocol, name string, how func(asker) error) ([]line, error) {
	began := make(chan struct{}, 8)
	ledger := &standin.Fleet{Script: func(r standin.Run, count int) standin.Step {
		if strings.Contains(r.Text, "SELECT 1") && count == 0 {
			began <- struct{}{}
			return standin.Step{After: time.Second}
		}
		return standin.Step{After: workTime}
	}}
	w, err := Start(options(protocol, ledger))
	if err != nil {
		return nil, err
	}
	first := Spec{Group: "upload", Key: "depot", Mark: mark(1), Text: "SELECT 1 FROM sales_1.orders", Limit: 5 * time.Second}
	next := Spec{Group: "upload", Key: "depot", Mark: mark(2), Text: "SELECT 2 FROM sales_1.orders", Limit: 5 * time.Second}
	c, err := dial(protocol, w)
	if err == nil {
		err = c.ask(first)
	}
	if err != nil {
		return nil, errors.Join(err, w.Stop())
	}
	<-began
	if err := how(c); err != nil {
		return nil, errors.Join(err, w.Stop())
	}
	c.Close()
	endings := []Ending{{Code: traffic.Rejected, Why: "left"}}
	endings = append(endings, play(protocol, w, next), play(protocol, w, first))
	l := judge(line{Fault: name, Group: "upload", Protocol: protocol}, ledger.Runs(), endings)
	l.Endings = strings.Replace(l.Endings, "1 pushed back", "1 left", 1)
	for i, r := range ledger.Runs() {
		if i > 0 && r.Key == "depot" && r.Mark == mark(2) && r.Began.Sub(ledger.Runs()[0].Began) < settleTime {
			l.Broken = append(l.Broken, "5: no rest after doubt")
		}
	}
	return []line{l}, w.Stop()
}

// keys: batches of one key come in a row, and some meet a fault. They run one at a time, in order, and rest.
func keys(protocol string) ([]line, error) {
	ledger := &standin.Fleet{Script: func(r standin.Run, count int) standin.Step {
		act := standin.Step{After: 10 * time.Millisecond}
		if count == 0 && strings.Contains(r.Text, "SELECT 2") {
			act.Action = standin.CloseUnanswered
		}
		if count == 0 && strings.Contains(r.Text, "SELECT 4") {
			act.Action = standin.Reject
		}
		return act
	}}
	w, err := Start(options(protocol, ledger))
	if err != nil {
		return nil, err
	}
	endings := make([]Ending, 6)
	var all sync.WaitGroup
	for n := range endings {
		c, err := dial(protocol, w)
		if err == nil {
			err = c.ask(Spec{Group: "upload", Key: "depot", Mark: mark(n), Limit: 6 * time.Second,
				Text: fmt.Sprintf("SELECT %d FROM sales_1.orders", n)})
		}
		if err != nil {
			return nil, errors.Join(err, w.Stop())
		}
		all.Go(func() {
			defer c.Close()
			endings[n] = c.end(8 * time.Second)
		})
		time.Sleep(20 * time.Millisecond) // so that all take them in the same order
	}
	all.Wait()
	l := judge(line{Fault: "keys in doubt", Group: "upload", Protocol: protocol}, ledger.Runs(), endings)
	return []line{l}, w.Stop()
}

// drain: clients of both protocols keep asking engines of both, and one of each drains. The protocol of the line is
// that of the engine that drains.
func drain(protocol string) ([]line, error) {
	ledger := &standin.Fleet{MarkMemory: time.Minute, Script: func(standin.Run, int) standin.Step { return standin.Step{After: workTime} }}
	w, err := Start(Options{RESP: 2, TDS: 2, Ledger: ledger})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var mutex sync.Mutex
	var endings []Ending
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				e := play([]string{"frames", "tds"}[i%2], w, Spec{Group: "lookup", Limit: 3 * time.Second,
					Text: fmt.Sprintf("SELECT %d FROM sales_%d.orders", n, i*9+n%5)})
				mutex.Lock()
				endings = append(endings, e)
				mutex.Unlock()
			}
		})
	}
	name := map[string]string{"frames": "resp-1", "tds": "tds-1"}[protocol]
	// On a busy machine the engine may have been taken for silent and be tried again only after some seconds.
	sent := func() bool {
		return slices.ContainsFunc(ledger.Runs(), func(r standin.Run) bool { return r.Engine == name })
	}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if time.Since(end.Add(-readyWithin)) > 500*time.Millisecond && sent() {
			break
		}
	}
	w.List(name)
	at := time.Now()
	time.Sleep(800 * time.Millisecond)
	close(stop)
	all.Wait()
	before := 0
	l := judge(line{Fault: "engine drains", Group: "lookup", Protocol: protocol}, ledger.Runs(), endings)
	for _, r := range ledger.Runs() {
		if r.Engine != name {
			continue
		}
		if before++; r.Began.Sub(at) > graceTime+slack {
			l.Broken = append(l.Broken, fmt.Sprintf("3: begun %s after the drain", r.Began.Sub(at)))
		}
	}
	if before == 0 {
		l.Broken = append(l.Broken, "nothing was sent there before the drain either")
	}
	l.Batches, l.Answers = 0, 0 // how many is chance
	l.Endings = strings.TrimLeft(l.Endings, "0123456789 ")
	return []line{l}, w.Stop()
}

// slack is what a busy machine may add to times that are noted beside the router; a rule that is broken for good shows
// all the same, since the stream goes on for longer.
const slack = 250 * time.Millisecond

// stopping: the router is told to stop amid batches; all that it has taken is answered.
func stopping(protocol string) ([]line, error) {
	ledger := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: 150 * time.Millisecond} }}
	return amid(protocol, "stop", ledger, func(w *World) error { return w.Stop() })
}

// reloading: our own settings are read again amid batches, a bad one first.
func reloading(protocol string) ([]line, error) {
	ledger := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: 150 * time.Millisecond} }}
	return amid(protocol, "reload", ledger, func(w *World) error {
		if err := w.Reload("[[rule]]\ngroup = \"nobody's\"\n"); err == nil {
			return errors.New("a bad file came into force")
		}
		return w.Reload("[[rule]]\nlogin = \"other\"\ngroup = \"once\"\n")
	})
}

func amid(protocol, name string, ledger *standin.Fleet, what func(*World) error) ([]line, error) {
	w, err := Start(options(protocol, ledger))
	if err != nil {
		return nil, err
	}
	groups := []string{"lookup", "once", "upload"}
	endings := make([]Ending, 9)
	var all sync.WaitGroup
	for n := range endings {
		c, err := dial(protocol, w)
		if err == nil {
			s := Spec{Group: groups[n%3], Text: fmt.Sprintf("SELECT %d FROM sales_1.orders", n), Limit: 3 * time.Second}
			if s.Group == "upload" {
				s.Mark = mark(n)
			}
			err = c.ask(s)
		}
		if err != nil {
			return nil, errors.Join(err, w.Stop())
		}
		all.Go(func() {
			defer c.Close()
			endings[n] = c.end(5 * time.Second)
		})
	}
	time.Sleep(50 * time.Millisecond)
	err = what(w)
	all.Wait()
	l := judge(line{Fault: name, Group: "all", Protocol: protocol}, ledger.Runs(), endings)
	return []line{l}, errors.Join(err, w.Stop())
}

// comeAgain plays a batch as a client does that may be ended at the door: at the bound of descriptors who has said nothing
// for 50 ms makes room, and on a busy machine that may be one whose login has not come through. Nothing of it was taken.
func comeAgain(protocol string, w *World, s Spec) Ending {
	const tries = 5
	for n := 1; ; n++ {
		c, err := dial(protocol, w)
		if err != nil && n < tries {
			continue
		}
		if err != nil {
			return Ending{Lost: true, Why: err.Error()}
		}
		return playOn(c, s)
	}
}

// small: 32 MB and 256 descriptors, most of which are taken by clients that do nothing.
func small(protocol string) ([]line, error) {
	ledger := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: workTime, Rows: 300} }}
	o := options(protocol, ledger)
	o.MemoryMB, o.Descriptors = 32, 256
	w, err := Start(o)
	if err != nil {
		return nil, err
	}
	var idle []asker
	for range 150 {
		if c, err := dial(protocol, w); err == nil {
			idle = append(idle, c)
		}
	}
	endings := make([]Ending, 40)
	var all sync.WaitGroup
	for n := range endings {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			endings[n] = comeAgain(protocol, w, Spec{Group: "lookup", Text: fmt.Sprintf("SELECT %d FROM sales_%d.orders", n, n), Limit: 3 * time.Second})
		})
	}
	all.Wait()
	for _, c := range idle {
		c.Close()
	}
	l := judge(line{Fault: "32 MB, 256 descriptors", Group: "lookup", Protocol: protocol}, ledger.Runs(), endings)
	return []line{l}, w.Stop()
}
