// Package directory tracks the list of engines: it reads the list in the configuration and the DNS messages of the name
// service, and decides which of its answers take effect.
package directory

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// Engine is one entry of the list.
type Engine struct {
	ID, Zone, Kind string // Kind is the machine type
	Address        string // host:port; empty: not reported
	Cell           int
	Draining       bool
	Weight         float64
	StartedAt      float64 // Unix seconds; 0: long ago
}

// List is a complete list of engines and the serial number of the last event that it includes.
type List struct {
	Serial  uint32
	Engines []Engine
}

// ParseConfigured applies the events in the "known" section of the configuration in order and returns the resulting list, with
// which the router starts. Empty text gives an empty list. Events that are not JSON, and addresses that are not IP:port, are
// errors.
func ParseConfigured(text []byte) (List, error) {
	var file struct {
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
	if err := json.Unmarshal(text, &file); err != nil {
		return List{}, fmt.Errorf("known: %w", err)
	}
	list := List{Serial: file.Pos}
	for _, event := range file.Entries {
		if event.Hosts.Reset {
			list.Engines = nil
		}
		list.Serial = max(list.Serial, event.Pos)
		for _, instance := range event.Hosts.Instances {
			engine := Engine{ID: instance.ID, Zone: instance.Zone, Kind: instance.Kind, Address: instance.Address, Cell: instance.Cell,
				Draining: instance.State == "Terminating", Weight: instance.Weight, StartedAt: instance.Started / 1000}
			if _, err := netip.ParseAddrPort(instance.Address); err != nil {
				return List{}, fmt.Errorf("known: engine %q: %w", instance.ID, err)
			}
			list.update(engine, instance.State == "Ready" || instance.State == "Terminating")
		}
	}
	return list, nil
}

// update replaces or adds an engine; if present is false, it removes it.
func (l *List) update(engine Engine, present bool) {
	for i := range l.Engines {
		if l.Engines[i].ID == engine.ID {
			if present {
				l.Engines[i] = engine
			} else {
				l.Engines = append(l.Engines[:i], l.Engines[i+1:]...)
			}
			return
		}
	}
	if present {
		l.Engines = append(l.Engines, engine)
	}
}
