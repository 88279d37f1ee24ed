package talk

import (
	"math"
	"net/netip"

	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

var sharesKindToWire = map[shares.MessageKind]SharesKind{shares.Claim: SharesKind_CLAIM, shares.Promise: SharesKind_PROMISE, shares.Refusal: SharesKind_REFUSAL,
	shares.Resign: SharesKind_YIELD, shares.GrantRequest: SharesKind_CREDIT_ASK, shares.GrantReply: SharesKind_CREDIT_REPLY,
	shares.Handover: SharesKind_HANDOVER, shares.RecordUpdate: SharesKind_RECORD, shares.RecordAck: SharesKind_RECORDED, shares.RecoveryRequest: SharesKind_RECALL,
	shares.RecoveryPage: SharesKind_RECALLED}

// Bounds of what is taken for an amount or a time of another router; what is beyond is no packet of this form.
const (
	maxItems   = 64
	maxAmount  = 1e9
	maxSeconds = 24 * 3600
	maxPages   = 4096 // of what a keeper knows
)

func encodeShares(m *shares.Message) *Shares {
	out := &Shares{Kind: sharesKindToWire[m.Kind], Roll: m.ReplicaSetHash, Number: m.Number, Bursar: m.Coordinator, Prior: m.PreviousPromise.Name, PriorStart: m.PreviousPromise.Start,
		Start: m.From.Start, To: m.ToStart, Page: m.Page, Pages: m.Pages, Up: min(m.CompleteFor, maxSeconds)}
	for _, i := range m.Items {
		out.Items = append(out.Items, &Credit{Number: i.Number, Attempt: i.Attempt, Kind: uint32(i.Key.Kind), Of: i.Key.Engine, At: i.Key.Qualifier, Amount: i.Amount,
			Whole: i.Total, Rest: i.CountedFor, Lease: i.Lease, Done: i.Done, Never: i.TooLarge, Name: i.Holder.Name, Start: i.Holder.Start})
	}
	return out
}

// decodeShares takes in what a sender says. A kind of message or of budget that is not known is of a newer version and passed over.
func decodeShares(p *Shares, from *membership.Member) (*shares.Message, bool) {
	if p == nil || len(p.Items) > maxItems {
		return nil, false
	}
	m := &shares.Message{From: shares.ID{Name: from.Name, Start: p.Start}, FromAddress: from.Address, ToStart: p.To, ReplicaSetHash: p.Roll, Number: p.Number, Coordinator: p.Bursar,
		PreviousPromise: shares.ID{Name: p.Prior, Start: p.PriorStart}, Page: p.Page, Pages: p.Pages, CompleteFor: p.Up}
	for kind, worded := range sharesKindToWire {
		if worded == p.Kind {
			m.Kind = kind
		}
	}
	if a, err := netip.ParseAddrPort(p.Bursar); p.Bursar != "" && (err != nil || a.Port() == 0 || len(p.Bursar) > maxNameLength) {
		return nil, false
	}
	if p.Prior != "" && !isPrintableName(p.Prior) {
		return nil, false
	}
	if !(p.Up >= 0 && p.Up <= maxSeconds) || p.Pages > maxPages {
		return nil, false
	}
	for _, c := range p.Items {
		if c.Name != "" && !isPrintableName(c.Name) {
			return nil, false
		}
		for of, most := range map[float64]float64{c.Amount: maxAmount, c.Whole: maxAmount, c.Rest: maxSeconds, c.Lease: maxSeconds} {
			if !(of >= 0 && of <= most) { // nor is what is no number
				return nil, false
			}
		}
		if _, known := shares.Kinds[shares.Kind(min(c.Kind, math.MaxUint8))]; !known {
			continue
		}
		m.Items = append(m.Items, shares.Item{Number: c.Number, Attempt: c.Attempt, Key: shares.Key{Kind: shares.Kind(c.Kind), Engine: c.Of, Qualifier: c.At},
			Amount: c.Amount, Total: c.Whole, CountedFor: c.Rest, Lease: c.Lease, Done: c.Done, TooLarge: c.Never, Holder: shares.ID{Name: c.Name, Start: c.Start}})
	}
	return m, true
}
