// Package config reads what a router is told at its start: the RELAY_ variables and the file they name.
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

// Config is all that a router is told.
type Config struct {
	Name, Listen, Resolver string
	Seed                   uint64
	Cores                  float64
	MemoryMB, Descriptors  int
	KnownEngines           directory.List
	Settings               settings.Settings
	SettingsText           string // as they were written
}

// Load reads the file that RELAY_CONFIG names; RELAY_NAME and RELAY_LISTEN stand in for what it lacks.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("RELAY_CONFIG names no file")
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

// Parse reads the file's text.
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
