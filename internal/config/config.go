// Package config reads the configuration of a router: the RELAY_ environment variables and the file that RELAY_CONFIG names.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"pitchfield/internal/directory"
	"pitchfield/internal/settings"
)

// Config is the configuration of a router.
type Config struct {
	Name         string
	Listen       string // address for clients, IP:port
	Resolver     string // address of the name service, IP:port
	Seed         uint64 // of the random numbers
	Cores        float64
	MemoryMB     int
	Descriptors  int            // limit of open sockets
	KnownEngines directory.List // used until the name service has answered
	Settings     settings.Settings
	SettingsText string // the JSON text of Settings as it stands in the file
}

// Load reads the file that RELAY_CONFIG names. RELAY_NAME and RELAY_LISTEN are used for a name or listen address that the file
// lacks.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("RELAY_CONFIG is not set to the path of a file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.Name == "" {
		c.Name = getenv("RELAY_NAME")
	}
	if c.Listen == "" {
		c.Listen = getenv("RELAY_LISTEN")
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	return c, nil
}

// Parse reads the text of the file, which is JSON. It does not check the listen address, which Load may still have to fill in.
func Parse(text []byte) (Config, error) {
	var file struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Seed   string `json:"seed"`
		Limits struct {
			Cores   float64 `json:"cores"`
			Memory  int     `json:"memory_mb"`
			Sockets int     `json:"sockets"`
		} `json:"limits"`
		Resolver string          `json:"resolver"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	c := Config{Name: file.Name, Listen: file.Listen, Resolver: file.Resolver, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.Memory, Descriptors: file.Limits.Sockets, SettingsText: string(file.Settings)}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.KnownEngines, err = directory.ParseConfigured(file.Known); err != nil {
		return c, err
	}
	if c.Settings, err = settings.Decode(file.Settings); err != nil {
		return c, err
	}
	if _, err := netip.ParseAddrPort(c.Resolver); err != nil {
		return c, fmt.Errorf("resolver: %w", err)
	}
	return c, nil
}
