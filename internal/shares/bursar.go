package shares

import (
	"cmp"
	"math"
	"slices"
)

// book is what the bursar has given of one budget. What was given counts until its lease has ended on the slowest clock, and
// what may have been done with it has had its rest; of one that is told done, only what was used, and its rest from now on.
type book struct {
	key     Key
	whole   float64 // the least that was told within a rest
	next    float64 // the least since nextAt: it takes the place of whole when that is old
	nextAt  float64
	rest    float64
	openAt  float64 // what the bursar before gave may count until then
	given   map[holder]*credit
	sum     units   // of those
	first   float64 // when the next of them ends, or sooner
	waiting []*wait // in the order in which they came
	usedAt  float64
}

// units are millionths: what is added and taken away a million times has to come out even.
type units int64

func toUnits(amount float64) units { return units(math.Ceil(min(max(amount, 0), 1e12) * 1e6)) }

// holder names a credit.
type holder struct {
	ID
	Number uint64
}

type credit struct {
	amount   units
	until    float64
	lease    float64
	try      uint32
	done     bool
	parked   bool // most keepers don't know of it yet
	recalled bool // of the bursar before
}

// wait is an asking that there was no room for.
type wait struct {
	holder
	item  Item
	to    string
	since float64
	heard float64 // when it was last asked again
}

// bursar is the part of whoever holds the office.
type bursar struct {
	*Settings
	books   map[Key]*book // tidy deletes
	handed  *handed       // by the bursar before, who left in peace; nil: nothing
	recall  *recall       // nil: it is over, and the books may be used
	up      float64       // for how long those keepers have run who told what counts
	parked  []*parked
	numbers uint64 // of what keepers are told and asked
}

// find gives the book of a budget.
func (b *bursar) find(now float64, i *Item) *book {
	k := b.books[i.Key]
	if k == nil {
		k = &book{key: i.Key, whole: i.Whole, next: i.Whole, nextAt: now, given: map[holder]*credit{}, first: math.Inf(1), usedAt: now}
		b.books[i.Key] = k
	}
	return k
}

// handOver gives all that still counts, where one message holds it.
func (b *bursar) handOver(now float64) (items []Item, all bool) {
	for _, k := range b.inOrder() {
		if k.drop(now); k.sum == 0 {
			continue
		}
		last := now
		for _, c := range k.given {
			last = max(last, c.until)
		}
		items = append(items, Item{Key: k.key, Amount: float64(k.sum) / 1e6, Whole: k.whole, Rest: last - now, Lease: k.rest})
	}
	return items, len(items) <= mostItems
}

// tidy drops books of which nothing counts any more.
func (b *bursar) tidy(now float64) {
	for key, k := range b.books {
		k.drop(now)
		if len(k.given) == 0 && len(k.waiting) == 0 && now > k.usedAt+max(4*k.rest, 10) && now > k.openAt {
			delete(b.books, key)
		}
	}
}

// drop forgets what no longer counts.
func (k *book) drop(now float64) {
	if now < k.first {
		return
	}
	k.first = math.Inf(1)
	for of, c := range k.given {
		if now >= c.until {
			k.take(of)
		} else {
			k.first = min(k.first, c.until)
		}
	}
}

// give and take are all that changes the sum.
func (k *book) give(to holder, c *credit) {
	k.take(to)
	k.given[to] = c
	k.sum += c.amount
	k.first = min(k.first, c.until)
}

func (k *book) take(from holder) {
	if c := k.given[from]; c != nil {
		k.sum -= c.amount
		delete(k.given, from)
	}
}

// pool is what the bursar may give of a whole.
func (b *bursar) pool(k *book) units { return units(k.whole * (1 - b.Firm) * 1e6) }

// of gives the book of a budget as one who asks tells it. wonAt is since when this office lasts: what an earlier bursar gave, and
// what is not in the books, has ended a lease later, or where it yielded within a lease, and counts for a rest more.
func (b *bursar) of(now, wonAt float64, i *Item) *book {
	k := b.find(now, i)
	k.usedAt = now
	k.rest = max(k.rest, i.Rest)
	b.opens(k, wonAt)
	// The least that anybody tells holds; a higher one only once nobody has told the lower for a rest.
	if now > k.nextAt+max(k.rest, b.Lease) {
		k.whole, k.next, k.nextAt = k.next, i.Whole, now
	}
	k.next = min(k.next, i.Whole)
	k.whole = min(k.whole, i.Whole)
	return k
}

// ask takes what one asks for, and gives what can be answered at once, the books that somebody waits for or that have more room,
// and what counts for less now.
func (b *bursar) ask(now, wonAt float64, from ID, at string, items []Item) (answers []Item, moved []*book, less []Item) {
	for _, i := range items {
		of := holder{from, i.Number}
		if i.Done { // it tells no whole, and a book that is not there has nothing of it
			answers = append(answers, Item{Number: i.Number, Key: i.Key, Amount: i.Amount, Done: true})
			k := b.books[i.Key]
			if k == nil {
				continue
			}
			held := Kinds[i.Key.Kind].Held
			if c := k.given[of]; c != nil && (held || !c.done) {
				until := min(c.until, now+b.longer(k.rest+b.Write))
				if held { // it is out until told otherwise, or for as long as it may be
					until = c.until
				}
				used := min(c.amount, toUnits(i.Amount))
				if used > 0 {
					k.give(of, &credit{amount: used, until: until, done: true})
				} else {
					k.take(of)
				}
				moved = append(moved, k)
				less = append(less, Item{Key: i.Key, Of: from, Number: i.Number, Amount: float64(used) / 1e6, Whole: k.whole, Rest: k.rest, Lease: max(until-now, 0)})
			}
			k.waiting = slices.DeleteFunc(k.waiting, func(w *wait) bool { return w.holder == of })
			continue
		}
		k := b.of(now, wonAt, &i)
		k.drop(now)
		c := k.given[of]
		switch {
		case c != nil: // the answer was lost; the lease runs from the asking that was answered
			if c.recalled { // of the bursar before: his answer is not to be waited for, and the holder says so by giving it back
				answers = append(answers, Item{Number: i.Number, Try: i.Try, Key: i.Key, Amount: float64(c.amount) / 1e6})
			} else if !c.done && !c.parked {
				answers = append(answers, Item{Number: i.Number, Try: c.try, Key: i.Key, Amount: float64(c.amount) / 1e6, Lease: c.lease})
			}
		case toUnits(i.Amount) > b.pool(k):
			answers = append(answers, Item{Number: i.Number, Try: i.Try, Key: i.Key, Never: true})
		default:
			n := slices.IndexFunc(k.waiting, func(w *wait) bool { return w.holder == of })
			if n >= 0 {
				k.waiting[n].item, k.waiting[n].heard = i, now
			} else if len(k.waiting) < b.Pending {
				k.waiting = append(k.waiting, &wait{of, i, at, now, now})
			}
			moved = append(moved, k)
		}
	}
	return answers, moved, less
}

// serve gives what there is room for, the smallest first, as batches leave: who waits for much is passed by only as long as it
// has not waited for some windows.
func (b *bursar) serve(now, office float64, k *book) (out []Send) {
	k.drop(now)
	reply := func(w *wait, i Item) {
		i.Number, i.Try, i.Key, i.Of = w.Number, w.item.Try, k.key, w.ID
		out = append(out, Send{w.to, Message{Kind: Reply, To: w.Start, Items: []Item{i}}})
	}
	k.waiting = slices.DeleteFunc(k.waiting, func(w *wait) bool { return now > w.heard+4*b.Again })
	lease := min(b.Lease, (office-now)/(1+2*b.Drift))
	if b.recall != nil || now < k.openAt || lease < b.Lease/10 {
		return nil
	}
	free := b.pool(k) - k.sum
	aged := func(w *wait) bool { return now > w.since+patience*k.rest }
	slices.SortStableFunc(k.waiting, func(x, y *wait) int {
		if ax, ay := aged(x), aged(y); ax || ay {
			return cmp.Or(-cmp.Compare(btoi(ax), btoi(ay)), cmp.Compare(x.since, y.since))
		}
		return cmp.Compare(x.item.Amount, y.item.Amount)
	})
	for n := 0; n < len(k.waiting); {
		w := k.waiting[n]
		amount := toUnits(w.item.Amount)
		if amount > b.pool(k) { // the whole has become less
			reply(w, Item{Never: true})
			k.waiting = slices.Delete(k.waiting, n, n+1)
			continue
		}
		if amount > free {
			if aged(w) { // nothing goes past it any more
				break
			}
			n++
			continue
		}
		free -= amount
		k.give(w.holder, &credit{amount: amount, until: now + b.longer(lease+k.rest), lease: lease, try: w.item.Try})
		reply(w, Item{Amount: float64(amount) / 1e6, Lease: lease})
		k.waiting = slices.Delete(k.waiting, n, n+1)
	}
	return out
}

const patience = 2 // windows

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// next is when something that waits may find room.
func (b *bursar) next(now float64) float64 {
	at := math.Inf(1)
	for _, p := range b.parked {
		at = min(at, p.again)
	}
	if b.recall != nil {
		return min(at, b.recall.again)
	}
	for _, k := range b.books {
		if len(k.waiting) == 0 {
			continue
		}
		if now < k.openAt {
			at = min(at, k.openAt)
			continue
		}
		at = min(at, k.first, now+b.Again) // who no longer asks goes
	}
	return at
}

// inOrder gives the books in one order.
func (b *bursar) inOrder() []*book {
	out := make([]*book, 0, len(b.books))
	for _, k := range b.books {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *book) int { return compareKeys(a.key, b.key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Of, b.Of), cmp.Compare(a.At, b.At))
}
