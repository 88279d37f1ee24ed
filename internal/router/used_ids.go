package router

import "errors"

const (
	// usedIDRetention is how long the id of a once-only batch that may have run is remembered, in seconds: far longer than a
	// client that comes again with it stays away.
	usedIDRetention = 60.0
	// maxUsedIDs bounds how many are remembered, and with that their memory.
	maxUsedIDs = 10_000
)

// errUsedID is why a once-only batch is not run whose id was sent to an engine before. That batch may have run, and its client
// may have left since.
var errUsedID = errors.New("its id was used before, and that batch may have run")

// usedIDs are the ids of once-only batches that may have run.
type usedIDs struct {
	at    map[string]float64 // when the id was used last
	order []usedID           // by time; entries that at does not confirm are out of date
}

// usedID is the use of an id.
type usedID struct {
	id string
	at float64
}

// add records that a batch with this id may have run. It forgets what is too old, and the oldest if there are too many.
func (u *usedIDs) add(id string, now float64) {
	if u.at == nil {
		u.at = map[string]float64{}
	}
	u.at[id] = now
	u.order = append(u.order, usedID{id, now})
	for len(u.order) > 0 && (len(u.order) > maxUsedIDs || now-u.order[0].at > usedIDRetention) {
		if first := u.order[0]; u.at[first.id] == first.at {
			delete(u.at, first.id)
		}
		u.order = u.order[1:]
	}
}

// remove records that the batch with this id has certainly not run.
func (u *usedIDs) remove(id string) { delete(u.at, id) }

// has reports whether a batch with this id may have run.
func (u *usedIDs) has(id string, now float64) bool {
	at, used := u.at[id]
	return used && now-at <= usedIDRetention
}
