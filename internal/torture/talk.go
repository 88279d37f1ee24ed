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
	agreementTimeout      = 25 * time.Second
	peerProbeInterval     = "100ms"
	acceptLossAfter       = "6s"
	agreementPollInterval = 100 * time.Millisecond
)

func (r *router) peerAddress() string   { return fmt.Sprintf("%s:%d", r.host, 7500+r.number) }
func (r *router) statusAddress() string { return fmt.Sprintf("%s:%d", r.host, 7600+r.number) }

// linkPeers makes the links to other routers, each pair on its own, each direction with its own weather. The fleet is locked.
func (r *router) linkPeers(others []*router) error {
	for _, o := range others {
		if o == r {
			continue
		}
		to := func(of *router) relay.Address { return relay.Address(of.peerAddress()) }
		way, err := r.fabric.Datagrams(r.host, r.endpoint(), o.endpoint(), to(r), to(o))
		if err != nil {
			return err
		}
		r.setPeerAddress(o, way.A.LocalAddr())
		o.setPeerAddress(r, way.B.LocalAddr())
	}
	return nil
}

// setPeerAddress notes by which address another router is reached, from the next start on.
func (r *router) setPeerAddress(o *router, by net.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peerAddresses[o.peerAddress()] = by.String()
}

// writeSettings writes settings of our own for a router that talks; it gives their path.
func (r *router) writeSettings() (string, error) {
	var seeds []string
	for _, o := range r.routers[:min(len(r.routers), 2)] {
		seeds = append(seeds, fmt.Sprintf("%q", o.peerAddress()))
	}
	var via []string
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for to, by := range r.peerAddresses {
		via = append(via, fmt.Sprintf("{to = %q, by = %q}", to, by))
	}
	text := fmt.Sprintf("[status]\nlisten = %q\n\n[fleet]\nname = \"torture\"\nlisten = %q\nseeds = [%s]\nnetworks = [\"127.0.0.0/8\"]\nevery = %q\naccept-loss-after = %q\nvia = [%s]\n",
		r.statusAddress(), r.peerAddress(), strings.Join(seeds, ", "), peerProbeInterval, acceptLossAfter, strings.Join(via, ", "))
	if r.program == r.Program { // an older build may not know it
		text += "load = \"100ms\"\n"
	}
	if r.QuotaShares {
		text += r.quotaSettings()
	}
	path := filepath.Join(r.Folder, fmt.Sprintf("own-%d-%d.toml", r.Seed, r.number))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("torture: %w", err)
	}
	return path, nil
}

// quotaSettings are the settings of what the routers divide by talk: three keepers, and of two routers one. Leases are as long as the
// engines' fall time is half, so that a standstill of seconds outlasts them.
func (r *router) quotaSettings() string {
	n := 3
	if len(r.routers) < n {
		n = 1
	}
	var keepers []string
	for _, o := range r.routers[:n] {
		keepers = append(keepers, fmt.Sprintf("%q", o.peerAddress()))
	}
	return fmt.Sprintf("\n[shares]\nkeepers = [%s]\nfirm = %g\nlease = \"500ms\"\nterm = \"1s\"\n", strings.Join(keepers, ", "), r.FirmShare) + r.sharedLimitSettings()
}

// What all routers divide beside the work of cold engines: tight enough to be wanted all the time.
const (
	fleetFreeRetries     = 4
	fleetFreeRetryWindow = time.Second
	maxConcurrentReports = 6
)

// sharedLimitSettings are the settings of that. Reports are pushed back at their bound: a play is too short for them to wait.
func (r *router) sharedLimitSettings() string {
	if !r.SharedLimits {
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
`, fleetFreeRetries, fleetFreeRetryWindow.String(), maxConcurrentReports)
}

// sendMalformedPackets sends what is no packet of the fleet, and what is one of another: bytes by chance, too much, cut, of a router that
// nobody knows under another fleet's name.
func (r *router) sendMalformedPackets(s Step) {
	c, err := net.Dial("udp", r.peerAddress())
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
	for i := range 20 * s.Selector {
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

// waitForAgreement waits until all routers that run have settled on the same view, which has all of them and nobody else.
func (p *scenario) waitForAgreement(within time.Duration) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(agreementPollInterval) {
		if err = p.compareViews(); err == nil {
			return nil
		}
	}
	return err
}

func (p *scenario) compareViews() error {
	running := map[string]bool{}
	var all []*router
	for _, r := range p.allRouters() {
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
					errs = append(errs, fmt.Errorf("%s holds %s for %s, which does not run", r.endpoint(), one.Name, one.State))
				}
			}
		}
		if len(there) != len(running) {
			errs = append(errs, fmt.Errorf("%s has %d members, and %d run: %v", r.endpoint(), len(there), len(running), there))
		}
		if m.Certainty != "settled" && len(running) > 1 {
			errs = append(errs, fmt.Errorf("%s is %s", r.endpoint(), m.Certainty))
		}
		if view == "" {
			view = m.View
		} else if m.View != view {
			errs = append(errs, fmt.Errorf("%s has another view than r0", r.endpoint()))
		}
	}
	return errors.Join(errs...)
}

// checkAgreement looks whether the fleet comes to agree once nothing goes wrong any more, and again after one has died for good.
func (p *scenario) checkAgreement() (out []Finding) {
	if !p.PeerMessaging {
		return nil
	}
	look := func(when string) {
		if err := p.waitForAgreement(agreementTimeout); err != nil {
			out = append(out, Finding{Rule: viewsRule, At: p.since(), Text: fmt.Sprintf("%s the routers do not agree within %s: %s", when, agreementTimeout,
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
