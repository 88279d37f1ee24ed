// Package directory follows the list of engines: what the configuration holds of it, and the name service by DNS.
package directory

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// Engine is one line of the list.
type Engine struct {
	ID, Zone, Kind string
	Address        string // host:port; empty: not told
	Cell           int
	Draining       bool
	Weight         float64
	StartedAt      float64 // seconds; 0: long ago
}

// List is the whole list and the number of the last event in it.
type List struct {
	Serial  uint32
	Engines []Engine
}

// ParseConfigured reads the events of the configuration into the list of the start.
func ParseConfigured(text []byte) (List, error) {
	var known struct {
		Pos     uint32 `json:"pos"`
		Entries []struct {
			Pos   uint32 `json:"pos"`
			Hosts struct {
				Reset     bool `json:"reset"`
				Instances []struct {
					ID      string  `json:"instanceId"`
					Address string  `json:"hostPort"`
					Zone    string  `json:"zone"`
					Kind    string  `json:"machineType"`
					Cell    int     `json:"cell"`
					State   string  `json:"lifecycle"`
					Weight  float64 `json:"weight"`
					Started float64 `json:"startedAtMs"`
				} `json:"instances"`
			} `json:"hosts"`
		} `json:"entries"`
	}
	if len(text) == 0 {
		return List{}, nil
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return List{}, fmt.Errorf("known: %w", err)
	}
	out := List{Serial: known.Pos}
	for _, event := range known.Entries {
		if event.Hosts.Reset {
			out.Engines = nil
		}
		out.Serial = max(out.Serial, event.Pos)
		for _, i := range event.Hosts.Instances {
			e := Engine{ID: i.ID, Zone: i.Zone, Kind: i.Kind, Address: i.Address, Cell: i.Cell,
				Draining: i.State == "Terminating", Weight: i.Weight, StartedAt: i.Started / 1000}
			if _, err := netip.ParseAddrPort(i.Address); err != nil {
				return List{}, fmt.Errorf("known: engine %q: %w", i.ID, err)
			}
			out.update(e, i.State == "Ready" || i.State == "Terminating")
		}
	}
	return out, nil
}

func (l *List) update(e Engine, there bool) {
	for i := range l.Engines {
		if l.Engines[i].ID == e.ID {
			if there {
				l.Engines[i] = e
			} else {
				l.Engines = append(l.Engines[:i], l.Engines[i+1:]...)
			}
			return
		}
	}
	if there {
		l.Engines = append(l.Engines, e)
	}
}
