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

// Time within which the members of a fleet have to agree after the last fault, and settings of their messaging. Routers
// probe each other ten times a second here, less often on a busy machine.
const (
	agreementTimeout      = 25 * time.Second       // after the last fault
	peerProbeInterval     = "100ms"                // setting fleet.every
	acceptLossAfter       = "6s"                   // setting fleet.accept-loss-after
	agreementPollInterval = 100 * time.Millisecond // between two looks at the members' views
)

// peerAddress is where the router receives peer messages.
func (r *router) peerAddress() string { return fmt.Sprintf("%s:%d", r.host, 7500+r.number) }

// statusAddress is where the router serves its status.
func (r *router) statusAddress() string { return fmt.Sprintf("%s:%d", r.host, 7600+r.number) }

// linkPeers creates links to the other routers: one for each pair, with separate faults for each direction. The caller
// holds fleetMutex.
func (r *router) linkPeers(others []*router) error {
	for _, other := range others {
		if other == r {
			continue
		}
		peerAddress := func(router *router) relay.Address { return relay.Address(router.peerAddress()) }
		link, err := r.fabric.NewDatagramLink(r.host, r.endpoint(), other.endpoint(), peerAddress(r), peerAddress(other))
		if err != nil {
			return err
		}
		r.setPeerAddress(other, link.A.LocalAddr())
		other.setPeerAddress(r, link.B.LocalAddr())
	}
	return nil
}

// setPeerAddress sets the address by which another router is reached, from the next start on.
func (r *router) setPeerAddress(other *router, by net.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peerAddresses[other.peerAddress()] = by.String()
}

// writeSettings writes the settings file of a router that exchanges peer messages and returns its path.
func (r *router) writeSettings() (string, error) {
	var seeds []string
	for _, peer := range r.routers[:min(len(r.routers), 2)] {
		seeds = append(seeds, fmt.Sprintf("%q", peer.peerAddress()))
	}
	var links []string
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for to, by := range r.peerAddresses {
		links = append(links, fmt.Sprintf("{to = %q, by = %q}", to, by))
	}
	text := fmt.Sprintf("[status]\nlisten = %q\n\n[fleet]\nname = \"torture\"\nlisten = %q\nseeds = [%s]\nnetworks = [\"127.0.0.0/8\"]\nevery = %q\naccept-loss-after = %q\nvia = [%s]\n",
		r.statusAddress(), r.peerAddress(), strings.Join(seeds, ", "), peerProbeInterval, acceptLossAfter, strings.Join(links, ", "))
	if r.program == r.Program { // an older build may not know this setting
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

// quotaSettings are the settings of the quotas that routers divide: three replicas, or one if there are only two
// routers. Leases last a quarter of the engines' fall time, so that a pause of seconds outlasts them.
func (r *router) quotaSettings() string {
	n := 3
	if len(r.routers) < n {
		n = 1
	}
	var replicas []string
	for _, peer := range r.routers[:n] {
		replicas = append(replicas, fmt.Sprintf("%q", peer.peerAddress()))
	}
	return fmt.Sprintf("\n[shares]\nkeepers = [%s]\nfirm = %g\nlease = \"500ms\"\nterm = \"1s\"\n", strings.Join(replicas, ", "),
		r.FirmShare) + r.sharedLimitSettings()
}

// Limits that all routers divide besides the capacity of cold engines: so tight that they are used up all the time.
const (
	fleetFreeRetries     = 4 // per fleetFreeRetryWindow
	fleetFreeRetryWindow = time.Second
	maxConcurrentReports = 6 // of all routers together
)

// sharedLimitSettings are the settings of those limits. Reports are rejected at their limit, because a scenario is too
// short for them to wait.
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

// sendMalformedPackets sends invalid packets to the router's peer address: random bytes of several sizes, and whole and
// truncated messages of an unknown router of another fleet.
func (r *router) sendMalformedPackets(s Step) {
	conn, err := net.Dial("udp", r.peerAddress())
	if err != nil {
		return
	}
	defer conn.Close()
	random := rand.New(rand.NewPCG(r.Seed, uint64(s.At)))
	unknown := membership.Member{ID: membership.ID{Name: "ghost", Start: 1}, Address: "127.0.0.1:9"}
	foreign, err := talk.Encode("another", &talk.Message{Message: membership.Message{Kind: membership.Ping, From: unknown, Number: 1}})
	if err != nil {
		return
	}
	for i := range 20 * s.Selector {
		data := make([]byte, []int{0, 1, 40, 1400, 9000}[i%5])
		for k := range data {
			data[k] = byte(random.Uint32())
		}
		switch i % 3 {
		case 1:
			data = foreign
		case 2:
			data = foreign[:random.IntN(len(foreign))]
		}
		conn.Write(data) //nolint:errcheck // it is rubbish
	}
}

// waitForAgreement waits until all running routers have settled on the same view, which contains exactly the running
// routers.
func (sc *scenario) waitForAgreement(within time.Duration) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(agreementPollInterval) {
		if err = sc.compareViews(); err == nil {
			return nil
		}
	}
	return err
}

// compareViews returns an error for each running router whose view is unsettled, differs from the running routers or from
// the first router's view.
func (sc *scenario) compareViews() error {
	running := map[string]bool{}
	var all []*router
	for _, r := range sc.allRouters() {
		if !r.down.Load() {
			running[r.name], all = true, append(all, r)
		}
	}
	var errs []error
	view := ""
	for _, r := range all {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		members, err := serve.FetchMembers(ctx, r.statusAddress())
		cancel()
		if err != nil {
			return err
		}
		var present []string
		for _, member := range members.Members {
			if member.State == "alive" || member.State == "suspect" {
				present = append(present, member.Name)
				if !running[member.Name] {
					errs = append(errs, fmt.Errorf("%s lists %s as %s, which does not run", r.endpoint(), member.Name, member.State))
				}
			}
		}
		if len(present) != len(running) {
			errs = append(errs, fmt.Errorf("%s lists %d members, but %d run: %v", r.endpoint(), len(present), len(running), present))
		}
		if members.Certainty != "settled" && len(running) > 1 {
			errs = append(errs, fmt.Errorf("%s is %s", r.endpoint(), members.Certainty))
		}
		if view == "" {
			view = members.View
		} else if members.View != view {
			errs = append(errs, fmt.Errorf("the view of %s differs from that of r0", r.endpoint()))
		}
	}
	return errors.Join(errs...)
}

// checkAgreement verifies that the fleet agrees on its members after the last fault, and again after one router has
// been killed for good.
func (sc *scenario) checkAgreement() (out []Finding) {
	if !sc.PeerMessaging {
		return nil
	}
	check := func(when string) {
		if err := sc.waitForAgreement(agreementTimeout); err != nil {
			out = append(out, Finding{Rule: viewsRule, At: sc.since(),
				Text: fmt.Sprintf("%s the routers do not agree within %s: %s", when, agreementTimeout,
					strings.ReplaceAll(err.Error(), "\n", "; "))})
		}
	}
	check("after the last fault")
	if victim := sc.routers[len(sc.routers)-1]; len(sc.routers) > 2 && !victim.down.Load() {
		victim.kill()
		check("after a death")
	}
	return out
}

// viewsRule is the rule that routers which exchange messages agree on their members; it comes after the users' rules 1
// to 7.
const viewsRule = 8
