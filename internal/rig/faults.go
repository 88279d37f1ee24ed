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

// The fault script runs the same scenarios over both protocols, each in its own environment. Rules are checked against what
// the engines recorded and what clients received, never against the router's own reports.

// resultRow is one row of the table: the results of a fault over one protocol.
type resultRow struct {
	Fault, Group, Protocol string
	Batches                int
	Answers                int // final answers; a batch whose client has left counts as answered
	Outcomes               string
	MaxDispatches          int // largest number of dispatches of one batch
	Violations             []string
}

// Times that the rules and the engines use.
const (
	drainGracePeriod = 250 * time.Millisecond // no batch may start on an engine later than this after it began to drain
	settleTime       = 300 * time.Millisecond // pause of a key after an outcome in doubt; settle-after-doubt-ms of PlatformSettings
	workTime         = 5 * time.Millisecond   // execution time of a batch on an engine
)

// scenario injects one fault; run plays it over one client protocol, "frames" or "tds".
type scenario struct {
	name string
	run  func(protocol string) ([]resultRow, error)
}

// scenarios returns the fault script, in the order of the table.
func scenarios() (out []scenario) {
	for d := standin.Reject; d <= standin.EndlessAnswer; d++ {
		out = append(out, scenario{d.String(), func(p string) ([]resultRow, error) { return faultOnFirstDispatch(p, d) }})
	}
	return append(out, scenario{"client leaves", clientCancels}, scenario{"client cuts", clientDisconnects}, scenario{"keys in doubt", keyOrderAfterFaults},
		scenario{"engine drains", engineDrains}, scenario{"stop", routerStops}, scenario{"reload", settingsReload}, scenario{"small", smallRouter})
}

// Faults runs all scenarios over both protocols and returns the results as a Markdown table. It returns an error as well if
// a scenario could not run, if a rule was broken, or if the outcomes of the two protocols differ.
func Faults() (string, error) {
	var running sync.WaitGroup
	allScenarios := scenarios()
	rows, errs := make([][2][]resultRow, len(allScenarios)), make([][2]error, len(allScenarios))
	slots := make(chan struct{}, 6) // environments that run at the same time
	for i, s := range allScenarios {
		for k, p := range []string{"frames", "tds"} {
			running.Go(func() {
				slots <- struct{}{}
				rows[i][k], errs[i][k] = s.run(p)
				<-slots
			})
		}
	}
	running.Wait()
	var out strings.Builder
	out.WriteString("| fault | group | protocol | batches | final answers | endings | dispatches at most | rules broken |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	var failures []error
	for i, s := range allScenarios {
		failures = append(failures, errs[i][0], errs[i][1])
		for k := range max(len(rows[i][0]), len(rows[i][1])) {
			var outcomes []string
			for side := range 2 {
				if k >= len(rows[i][side]) {
					continue
				}
				row := rows[i][side][k]
				outcomes = append(outcomes, row.Outcomes)
				violations := "none"
				if len(row.Violations) > 0 {
					violations = strings.Join(row.Violations, "; ")
					failures = append(failures, fmt.Errorf("%s, %s, %s: %s", row.Fault, row.Group, row.Protocol, violations))
				}
				fmt.Fprintf(&out, "| %s | %s | %s | %d | %d | %s | %d | %s |\n", row.Fault, row.Group, row.Protocol, row.Batches, row.Answers,
					row.Outcomes, row.MaxDispatches, violations)
			}
			if len(outcomes) != 2 || outcomes[0] != outcomes[1] {
				failures = append(failures, fmt.Errorf("%s: outcomes differ between the protocols: %s", s.name, strings.Join(outcomes, " and ")))
			}
		}
	}
	return out.String(), errors.Join(failures...)
}

// engineOptions returns the options of an environment with two engines of the given protocol.
func engineOptions(protocol string, fleet *standin.Fleet) Options {
	if fleet.MarkMemory == 0 {
		fleet.MarkMemory = time.Minute
	}
	o := Options{Fleet: fleet}
	if protocol == "tds" {
		o.TDSEngines = 2
	} else {
		o.RESPEngines = 2
	}
	return o
}

// idempotencyByGroup says how often a batch of a group may run: repeatable ones any number of times, once-only ones once, and
// referenced ones once for each mark.
var idempotencyByGroup = map[string]string{"lookup": "repeatable", "report": "repeatable", "once": "once-only", "upload": "referenced"}

// checkRules completes the row with a summary of the outcomes and with violations of the rules, found in the runs that the
// engines recorded. Rule 1: each batch gets exactly one final answer. Rule 2: a batch has at most 3 dispatches, and neither a
// once-only batch nor a mark runs twice. Rule 5: batches of one key run one at a time and in order.
func checkRules(row resultRow, runs []standin.Run, outcomes []Outcome) resultRow {
	row.Batches, row.Answers = len(outcomes), 0
	counts := map[string]int{}
	for _, e := range outcomes {
		if !e.Lost {
			row.Answers++
		}
		counts[e.String()]++
		if e.Lost || e.Duplicate {
			row.Violations = append(row.Violations, "1: "+e.String()+" "+e.Reason)
		}
	}
	var summaries []string
	for _, name := range []string{"returned", "pushed back", "errored", "left", "lost", "twice"} {
		if n := counts[name]; n > 0 {
			summaries = append(summaries, fmt.Sprintf("%d %s", n, name))
		}
	}
	row.Outcomes = strings.Join(summaries, ", ")
	dispatches, executions := map[string]int{}, map[string]int{}
	for _, r := range runs {
		dispatches[r.ID]++
		row.MaxDispatches = max(row.MaxDispatches, dispatches[r.ID])
		if r.Step.Action == standin.Reject || r.Duplicate {
			continue
		}
		switch idempotencyByGroup[r.Group] {
		case "once-only":
			executions[r.ID]++
		case "referenced":
			executions[r.Mark]++
		}
	}
	if row.MaxDispatches > 3 {
		row.Violations = append(row.Violations, fmt.Sprintf("2: %d dispatches", row.MaxDispatches))
	}
	for id, n := range executions {
		if n > 1 {
			row.Violations = append(row.Violations, fmt.Sprintf("2: %s ran %d times", id, n))
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
				row.Violations = append(row.Violations, "5: two batches of key "+key+" ran at the same time")
			}
			if list[i].Text < before.Text { // the texts of a key's batches are numbered in order
				row.Violations = append(row.Violations, "5: batches of key "+key+" ran out of order")
			}
		}
	}
	return row
}

// batchMark returns the mark by which engines recognize batch n when it is sent again.
func batchMark(n int) string { return fmt.Sprintf("%032x", n+1) }

// faultOnFirstDispatch injects a fault into the first dispatch of a batch, for each kind of idempotency.
func faultOnFirstDispatch(protocol string, fault standin.Action) (out []resultRow, err error) {
	for _, group := range []string{"lookup", "once", "upload"} {
		fleet := &standin.Fleet{Script: func(r standin.Run, count int) standin.Step {
			act := standin.Step{After: workTime}
			if strings.Contains(r.Text, "faulty") && count == 0 {
				act.Action = fault
			}
			return act
		}}
		env, err := Start(engineOptions(protocol, fleet))
		if err != nil {
			return out, err
		}
		var outcomes []Outcome
		for n := range 3 { // the second one meets the fault; the third shows whether the fault has lasting effects
			text := fmt.Sprintf("SELECT %d FROM sales_1.orders", n)
			if n == 1 {
				text = "SELECT 1 AS faulty FROM sales_1.orders"
			}
			batch := Batch{Group: group, Text: text, TimeLimit: 3 * time.Second}
			if group == "upload" {
				batch.Mark = batchMark(n)
			}
			outcomes = append(outcomes, runBatch(protocol, env, batch))
		}
		row := checkRules(resultRow{Fault: fault.String(), Group: group, Protocol: protocol}, fleet.Runs(), outcomes)
		out = append(out, row)
		if err := env.Stop(); err != nil {
			return out, err
		}
	}
	return out, nil
}

// clientCancels has the client of an upload cancel its batch while it runs.
func clientCancels(protocol string) ([]resultRow, error) {
	return abandonFirstBatch(protocol, "client leaves", batchClient.cancel)
}

// clientDisconnects has the client of an upload close its connection while its batch runs.
func clientDisconnects(protocol string) ([]resultRow, error) {
	return abandonFirstBatch(protocol, "client cuts", batchClient.Close)
}

// abandonFirstBatch starts an upload and abandons it while it runs, then sends another batch of the same key and the first
// one again. The key must pause after the abandoned batch, order must hold, and the second attempt under the same mark must
// not run the batch twice.
func abandonFirstBatch(protocol, name string, abandon func(batchClient) error) ([]resultRow, error) {
	started := make(chan struct{}, 8)
	fleet := &standin.Fleet{Script: func(r standin.Run, count int) standin.Step {
		if strings.Contains(r.Text, "SELECT 1") && count == 0 {
			started <- struct{}{}
			return standin.Step{After: time.Second}
		}
		return standin.Step{After: workTime}
	}}
	env, err := Start(engineOptions(protocol, fleet))
	if err != nil {
		return nil, err
	}
	first := Batch{Group: "upload", Key: "depot", Mark: batchMark(1), Text: "SELECT 1 FROM sales_1.orders", TimeLimit: 5 * time.Second}
	next := Batch{Group: "upload", Key: "depot", Mark: batchMark(2), Text: "SELECT 2 FROM sales_1.orders", TimeLimit: 5 * time.Second}
	client, err := dial(protocol, env)
	if err == nil {
		err = client.send(first)
	}
	if err != nil {
		return nil, errors.Join(err, env.Stop())
	}
	<-started
	if err := abandon(client); err != nil {
		return nil, errors.Join(err, env.Stop())
	}
	client.Close()
	outcomes := []Outcome{{Code: traffic.Rejected, Reason: "left"}}
	outcomes = append(outcomes, runBatch(protocol, env, next), runBatch(protocol, env, first))
	row := checkRules(resultRow{Fault: name, Group: "upload", Protocol: protocol}, fleet.Runs(), outcomes)
	row.Outcomes = strings.Replace(row.Outcomes, "1 pushed back", "1 left", 1)
	for i, r := range fleet.Runs() {
		if i > 0 && r.Key == "depot" && r.Mark == batchMark(2) && r.Began.Sub(fleet.Runs()[0].Began) < settleTime {
			row.Violations = append(row.Violations, "5: no pause of the key after an outcome in doubt")
		}
	}
	return []resultRow{row}, env.Stop()
}

// keyOrderAfterFaults sends a sequence of batches of one key, two of which meet a fault. They must run one at a time and in
// order, with a pause of the key after an outcome in doubt.
func keyOrderAfterFaults(protocol string) ([]resultRow, error) {
	fleet := &standin.Fleet{Script: func(r standin.Run, count int) standin.Step {
		act := standin.Step{After: 10 * time.Millisecond}
		if count == 0 && strings.Contains(r.Text, "SELECT 2") {
			act.Action = standin.CloseUnanswered
		}
		if count == 0 && strings.Contains(r.Text, "SELECT 4") {
			act.Action = standin.Reject
		}
		return act
	}}
	env, err := Start(engineOptions(protocol, fleet))
	if err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, 6)
	var all sync.WaitGroup
	for n := range outcomes {
		c, err := dial(protocol, env)
		if err == nil {
			err = c.send(Batch{Group: "upload", Key: "depot", Mark: batchMark(n), TimeLimit: 6 * time.Second,
				Text: fmt.Sprintf("SELECT %d FROM sales_1.orders", n)})
		}
		if err != nil {
			return nil, errors.Join(err, env.Stop())
		}
		all.Go(func() {
			defer c.Close()
			outcomes[n] = c.awaitOutcome(8 * time.Second)
		})
		time.Sleep(20 * time.Millisecond) // so that the batches arrive in the order of their numbers
	}
	all.Wait()
	row := checkRules(resultRow{Fault: "keys in doubt", Group: "upload", Protocol: protocol}, fleet.Runs(), outcomes)
	return []resultRow{row}, env.Stop()
}

// engineDrains drains one engine while clients of both protocols keep sending batches to engines of both protocols. The
// protocol is that of the draining engine. Rule 3: no batch starts there after the grace period.
func engineDrains(protocol string) ([]resultRow, error) {
	fleet := &standin.Fleet{MarkMemory: time.Minute, Script: func(standin.Run, int) standin.Step { return standin.Step{After: workTime} }}
	env, err := Start(Options{RESPEngines: 2, TDSEngines: 2, Fleet: fleet})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var mutex sync.Mutex
	var outcomes []Outcome
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				e := runBatch([]string{"frames", "tds"}[i%2], env, Batch{Group: "lookup", TimeLimit: 3 * time.Second,
					Text: fmt.Sprintf("SELECT %d FROM sales_%d.orders", n, i*9+n%5)})
				mutex.Lock()
				outcomes = append(outcomes, e)
				mutex.Unlock()
			}
		})
	}
	drainedEngine := map[string]string{"frames": "resp-1", "tds": "tds-1"}[protocol]
	// On a busy machine the engine may have been ejected as unresponsive, and is tried again only after some seconds.
	sent := func() bool {
		return slices.ContainsFunc(fleet.Runs(), func(r standin.Run) bool { return r.Engine == drainedEngine })
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if time.Since(end.Add(-readyTimeout)) > 500*time.Millisecond && sent() {
			break
		}
	}
	env.AdvertiseEngines(drainedEngine)
	drainedAt := time.Now()
	time.Sleep(800 * time.Millisecond)
	close(stop)
	all.Wait()
	dispatches := 0
	row := checkRules(resultRow{Fault: "engine drains", Group: "lookup", Protocol: protocol}, fleet.Runs(), outcomes)
	for _, r := range fleet.Runs() {
		if r.Engine != drainedEngine {
			continue
		}
		if dispatches++; r.Began.Sub(drainedAt) > drainGracePeriod+schedulingSlack {
			row.Violations = append(row.Violations, fmt.Sprintf("3: a batch started %s after the drain", r.Began.Sub(drainedAt)))
		}
	}
	if dispatches == 0 {
		row.Violations = append(row.Violations, "the engine received no batch before the drain")
	}
	row.Batches, row.Answers = 0, 0 // the number depends on timing
	row.Outcomes = strings.TrimLeft(row.Outcomes, "0123456789 ")
	return []resultRow{row}, env.Stop()
}

// schedulingSlack is what a busy machine may add to times that are recorded outside the router. A lasting violation is still
// found, since the batches go on for longer than this.
const schedulingSlack = 250 * time.Millisecond

// routerStops stops the router while batches run; it must answer all that it has accepted.
func routerStops(protocol string) ([]resultRow, error) {
	fleet := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: 150 * time.Millisecond} }}
	return disturbWhileBusy(protocol, "stop", fleet, func(env *Environment) error { return env.Stop() })
}

// settingsReload reloads the installation settings while batches run: first an invalid file, which must be refused, then a
// valid one.
func settingsReload(protocol string) ([]resultRow, error) {
	fleet := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: 150 * time.Millisecond} }}
	return disturbWhileBusy(protocol, "reload", fleet, func(env *Environment) error {
		if err := env.Reload("[[rule]]\ngroup = \"nobody's\"\n"); err == nil {
			return errors.New("an invalid settings file was accepted")
		}
		return env.Reload("[[rule]]\nlogin = \"other\"\ngroup = \"once\"\n")
	})
}

// disturbWhileBusy sends batches of several groups and calls disturb 50 ms later, while they run. All must be answered.
func disturbWhileBusy(protocol, name string, fleet *standin.Fleet, disturb func(*Environment) error) ([]resultRow, error) {
	env, err := Start(engineOptions(protocol, fleet))
	if err != nil {
		return nil, err
	}
	groups := []string{"lookup", "once", "upload"}
	outcomes := make([]Outcome, 9)
	var all sync.WaitGroup
	for n := range outcomes {
		c, err := dial(protocol, env)
		if err == nil {
			batch := Batch{Group: groups[n%3], Text: fmt.Sprintf("SELECT %d FROM sales_1.orders", n), TimeLimit: 3 * time.Second}
			if batch.Group == "upload" {
				batch.Mark = batchMark(n)
			}
			err = c.send(batch)
		}
		if err != nil {
			return nil, errors.Join(err, env.Stop())
		}
		all.Go(func() {
			defer c.Close()
			outcomes[n] = c.awaitOutcome(5 * time.Second)
		})
	}
	time.Sleep(50 * time.Millisecond)
	err = disturb(env)
	all.Wait()
	row := checkRules(resultRow{Fault: name, Group: "all", Protocol: protocol}, fleet.Runs(), outcomes)
	return []resultRow{row}, errors.Join(err, env.Stop())
}

// runBatchWithRedial runs a batch like runBatch but dials up to 5 times. At its limit of descriptors the router closes
// connections that have sent nothing for 50 ms; on a busy machine this may hit a client whose login has not arrived yet. The
// router has accepted no batch of such a client, so dialing again is safe.
func runBatchWithRedial(protocol string, env *Environment, batch Batch) Outcome {
	const tries = 5
	for n := 1; ; n++ {
		c, err := dial(protocol, env)
		if err != nil && n < tries {
			continue
		}
		if err != nil {
			return Outcome{Lost: true, Reason: err.Error()}
		}
		return runBatchOn(c, batch)
	}
}

// smallRouter runs a router with 32 MB and 256 descriptors, most of which idle clients take.
func smallRouter(protocol string) ([]resultRow, error) {
	fleet := &standin.Fleet{Script: func(standin.Run, int) standin.Step { return standin.Step{After: workTime, Rows: 300} }}
	o := engineOptions(protocol, fleet)
	o.MemoryMB, o.Descriptors = 32, 256
	env, err := Start(o)
	if err != nil {
		return nil, err
	}
	var idle []batchClient
	for range 150 {
		if c, err := dial(protocol, env); err == nil {
			idle = append(idle, c)
		}
	}
	outcomes := make([]Outcome, 40)
	var all sync.WaitGroup
	for n := range outcomes {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			outcomes[n] = runBatchWithRedial(protocol, env, Batch{Group: "lookup", Text: fmt.Sprintf("SELECT %d FROM sales_%d.orders", n, n), TimeLimit: 3 * time.Second})
		})
	}
	all.Wait()
	for _, c := range idle {
		c.Close()
	}
	row := checkRules(resultRow{Fault: "32 MB, 256 descriptors", Group: "lookup", Protocol: protocol}, fleet.Runs(), outcomes)
	return []resultRow{row}, env.Stop()
}
