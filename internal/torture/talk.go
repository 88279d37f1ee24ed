package torture

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pitchfield/internal/membership"
	"pitchfield/internal/relay"
	"pitchfield/internal/serve"
	"pitchfield/internal/talk"
)

// Bounds of what a fleet may take to agree, once nothing goes wrong any more. Routers probe each other ten times a second
// here; on a busy machine they do so late.
const (
	agreeWithin = 25 * time.Second
	talkEvery   = "100ms"
	acceptLoss  = "6s"
	lookPause   = 100 * time.Millisecond
)

func (r *router) talkAddress() string   { return fmt.Sprintf("%s:%d", r.host, 7500+r.number) }
func (r *router) statusAddress() string { return fmt.Sprintf("%s:%d", r.host, 7600+r.number) }

// talkTo makes the links to other routers, each pair on its own, each direction with its own weather. The fleet is locked.
func (r *router) talkTo(others []*router) error {
	for _, o := range others {
		if o == r {
			continue
		}
		to := func(of *router) relay.Address { return relay.Address(of.talkAddress()) }
		way, err := r.fabric.Datagrams(r.host, r.party(), o.party(), to(r), to(o))
		if err != nil {
			return err
		}
		r.reaches(o, way.A.LocalAddr())
		o.reaches(r, way.B.LocalAddr())
	}
	return nil
}

// reaches notes by which address another router is reached, from the next start on.
func (r *router) reaches(o *router, by net.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.via[o.talkAddress()] = by.String()
}

// tell writes settings of our own for a router that talks; it gives their path.
func (r *router) tell() (string, error) {
	var seeds []string
	for _, o := range r.routers[:min(len(r.routers), 2)] {
		seeds = append(seeds, fmt.Sprintf("%q", o.talkAddress()))
	}
	var via []string
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for to, by := range r.via {
		via = append(via, fmt.Sprintf("{to = %q, by = %q}", to, by))
	}
	text := fmt.Sprintf("[status]\nlisten = %q\n\n[fleet]\nname = \"torture\"\nlisten = %q\nseeds = [%s]\nnetworks = [\"127.0.0.0/8\"]\nevery = %q\naccept-loss-after = %q\nvia = [%s]\n",
		r.statusAddress(), r.talkAddress(), strings.Join(seeds, ", "), talkEvery, acceptLoss, strings.Join(via, ", "))
	if r.program == r.Program { // an older build may not know it
		text += "load = \"100ms\"\n"
	}
	if r.Shares {
		text += r.shares()
	}
	path := filepath.Join(r.Folder, fmt.Sprintf("own-%d-%d.toml", r.Seed, r.number))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("torture: %w", err)
	}
	return path, nil
}

// shares are the settings of what the routers divide by talk: three keepers, and of two routers one. Leases are as long as the
// engines' fall time is half, so that a standstill of seconds outlasts them.
func (r *router) shares() string {
	n := 3
	if len(r.routers) < n {
		n = 1
	}
	var keepers []string
	for _, o := range r.routers[:n] {
		keepers = append(keepers, fmt.Sprintf("%q", o.talkAddress()))
	}
	return fmt.Sprintf("\n[shares]\nkeepers = [%s]\nfirm = %g\nlease = \"500ms\"\nterm = \"1s\"\n", strings.Join(keepers, ", "), r.Firm) + r.alsoDivided()
}

// What all routers divide beside the work of cold engines: tight enough to be wanted all the time.
const (
	freeOfAll  = 4
	freeWindow = time.Second
	reportsOut = 6
)

// alsoDivided are the settings of that. Reports are pushed back at their bound: a play is too short for them to wait.
func (r *router) alsoDivided() string {
	if !r.Limits {
		return ""
	}
	return fmt.Sprintf(`
[[budget]]
name = "free"
free = %d.0
window = %q
fleet = true

[[concurrency]]
name = "reports"
routers = %d
at-bound = "push back"

[[route]]
name = "look-ups"
group = "lookup"
budget = "free"

[[route]]
name = "reports"
group = "report"
concurrency = "reports"
`, freeOfAll, freeWindow.String(), reportsOut)
}

// rubbish sends what is no packet of the fleet, and what is one of another: bytes by chance, too much, cut, of a router that
// nobody knows under another fleet's name.
func (r *router) rubbish(s Step) {
	c, err := net.Dial("udp", r.talkAddress())
	if err != nil {
		return
	}
	defer c.Close()
	chance := rand.New(rand.NewPCG(r.Seed, uint64(s.At)))
	ghost := membership.Member{ID: membership.ID{Name: "ghost", Start: 1}, Address: "127.0.0.1:9"}
	other, err := talk.Encode("another", &talk.Message{Message: membership.Message{Kind: membership.Ping, From: ghost, Number: 1}})
	if err != nil {
		return
	}
	for i := range 20 * s.Which {
		data := make([]byte, []int{0, 1, 40, 1400, 9000}[i%5])
		for k := range data {
			data[k] = byte(chance.Uint32())
		}
		switch i % 3 {
		case 1:
			data = other
		case 2:
			data = other[:chance.IntN(len(other))]
		}
		c.Write(data) //nolint:errcheck // it is rubbish
	}
}

// agree waits until all routers that run have settled on the same view, which has all of them and nobody else.
func (p *play) agree(within time.Duration) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(lookPause) {
		if err = p.agreed(); err == nil {
			return nil
		}
	}
	return err
}

func (p *play) agreed() error {
	running := map[string]bool{}
	var all []*router
	for _, r := range p.everyone() {
		if !r.down.Load() {
			running[r.name], all = true, append(all, r)
		}
	}
	var errs []error
	view := ""
	for _, r := range all {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		m, err := serve.FetchMembers(ctx, r.statusAddress())
		cancel()
		if err != nil {
			return err
		}
		var there []string
		for _, one := range m.Members {
			if one.State == "alive" || one.State == "suspect" {
				there = append(there, one.Name)
				if !running[one.Name] {
					errs = append(errs, fmt.Errorf("%s holds %s for %s, which does not run", r.party(), one.Name, one.State))
				}
			}
		}
		if len(there) != len(running) {
			errs = append(errs, fmt.Errorf("%s has %d members, and %d run: %v", r.party(), len(there), len(running), there))
		}
		if m.Certainty != "settled" && len(running) > 1 {
			errs = append(errs, fmt.Errorf("%s is %s", r.party(), m.Certainty))
		}
		if view == "" {
			view = m.View
		} else if m.View != view {
			errs = append(errs, fmt.Errorf("%s has another view than r0", r.party()))
		}
	}
	return errors.Join(errs...)
}

// views looks whether the fleet comes to agree once nothing goes wrong any more, and again after one has died for good.
func (p *play) views() (out []Finding) {
	if !p.Talk {
		return nil
	}
	look := func(when string) {
		if err := p.agree(agreeWithin); err != nil {
			out = append(out, Finding{Rule: viewsRule, At: p.since(), What: fmt.Sprintf("%s the routers do not agree within %s: %s", when, agreeWithin,
				strings.ReplaceAll(err.Error(), "\n", "; "))})
		}
	}
	look("after the last fault")
	if last := p.routers[len(p.routers)-1]; len(p.routers) > 2 && !last.down.Load() {
		last.kill()
		look("after a death")
	}
	return out
}

// viewsRule stands beside the users' seven: routers that talk come to agree on who is there.
const viewsRule = 8
