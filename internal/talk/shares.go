package talk

import (
	"math"
	"net/netip"

	"pitchfield/internal/membership"
	"pitchfield/internal/shares"
)

var sharesKinds = map[shares.MessageKind]SharesKind{shares.Claim: SharesKind_CLAIM, shares.Promise: SharesKind_PROMISE, shares.Refusal: SharesKind_REFUSAL,
	shares.Yield: SharesKind_YIELD, shares.Ask: SharesKind_CREDIT_ASK, shares.Reply: SharesKind_CREDIT_REPLY,
	shares.Handover: SharesKind_HANDOVER, shares.Record: SharesKind_RECORD, shares.Recorded: SharesKind_RECORDED, shares.Recall: SharesKind_RECALL,
	shares.Recalled: SharesKind_RECALLED}

// Bounds of what is taken for an amount or a time of another router; what is beyond is no packet of this form.
const (
	mostItems  = 64
	mostAmount = 1e9
	mostTime   = 24 * 3600
	mostPages  = 4096 // of what a keeper knows
)

func sharesOut(m *shares.Message) *Shares {
	out := &Shares{Kind: sharesKinds[m.Kind], Roll: m.Roll, Number: m.Number, Bursar: m.Bursar, Prior: m.Prior.Name, PriorStart: m.Prior.Start,
		Start: m.From.Start, To: m.To, Page: m.Page, Pages: m.Pages, Up: min(m.Up, mostTime)}
	for _, i := range m.Items {
		out.Items = append(out.Items, &Credit{Number: i.Number, Attempt: i.Try, Kind: uint32(i.Key.Kind), Of: i.Key.Of, At: i.Key.At, Amount: i.Amount,
			Whole: i.Whole, Rest: i.Rest, Lease: i.Lease, Done: i.Done, Never: i.Never, Name: i.Of.Name, Start: i.Of.Start})
	}
	return out
}

// sharesIn takes in what a sender says. A kind of message or of budget that is not known is of a newer version and passed over.
func sharesIn(p *Shares, from *membership.Member) (*shares.Message, bool) {
	if p == nil || len(p.Items) > mostItems {
		return nil, false
	}
	m := &shares.Message{From: shares.ID{Name: from.Name, Start: p.Start}, At: from.Address, To: p.To, Roll: p.Roll, Number: p.Number, Bursar: p.Bursar,
		Prior: shares.ID{Name: p.Prior, Start: p.PriorStart}, Page: p.Page, Pages: p.Pages, Up: p.Up}
	for kind, worded := range sharesKinds {
		if worded == p.Kind {
			m.Kind = kind
		}
	}
	if a, err := netip.ParseAddrPort(p.Bursar); p.Bursar != "" && (err != nil || a.Port() == 0 || len(p.Bursar) > mostName) {
		return nil, false
	}
	if p.Prior != "" && !usable(p.Prior) {
		return nil, false
	}
	if !(p.Up >= 0 && p.Up <= mostTime) || p.Pages > mostPages {
		return nil, false
	}
	for _, c := range p.Items {
		if c.Name != "" && !usable(c.Name) {
			return nil, false
		}
		for of, most := range map[float64]float64{c.Amount: mostAmount, c.Whole: mostAmount, c.Rest: mostTime, c.Lease: mostTime} {
			if !(of >= 0 && of <= most) { // nor is what is no number
				return nil, false
			}
		}
		if _, known := shares.Kinds[shares.Kind(min(c.Kind, math.MaxUint8))]; !known {
			continue
		}
		m.Items = append(m.Items, shares.Item{Number: c.Number, Try: c.Attempt, Key: shares.Key{Kind: shares.Kind(c.Kind), Of: c.Of, At: c.At},
			Amount: c.Amount, Whole: c.Whole, Rest: c.Rest, Lease: c.Lease, Done: c.Done, Never: c.Never, Of: shares.ID{Name: c.Name, Start: c.Start}})
	}
	return m, true
}
