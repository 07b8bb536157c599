package config

import (
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// Config is the checked configuration of one gateway process: its file, with the environment variables that override
// keys of it, and with defaults set.
type Config struct {
	Name             string           // name of this gateway
	Listen           netip.AddrPort   // TCP address that clients connect to
	DiscoveryAddress string           // IP address and port of the discovery agent
	Seed             uint64           // seed of the decision module's random choices
	MemoryLimit      int64            // bytes that the process may use
	MaxDescriptors   int              // file descriptors that the process may use
	PeerListen       netip.AddrPort   // UDP address that receives gossip; invalid if gateways exchange none
	Peers            []netip.AddrPort // gossip addresses by member index; empty if gateways exchange no gossip
	CounterAddress   netip.AddrPort   // address of the shared counter; invalid if there is none

	// InitialEndpointList is the endpoint list to start with, as JSON text; it may be empty. It is a substring of the
	// file's text and keeps all of it in memory.
	InitialEndpointList string
	// StartupKeysHash is a hash of all keys of the file except discovery, known and seed. A difference after a reload
	// means that keys have changed that take effect only at the next start. Hashes of different processes can't be
	// compared.
	StartupKeysHash uint64

	*Settings
	Counterfactual *Counterfactual // nil: the file has no such section, and the feature is off
	Pool           *Pool           // nil: likewise
	Configuration  *Configuration  // nil: likewise
}

// Defaults and minima of the file's keys.
const (
	defaultName     = "ravensill"
	defaultSeed     = "1" // hexadecimal, as in the file
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64

	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// baseMemory is what a gateway needs beside the memory that grows with its work: the program's text, the runtime, and
// idle connections, in bytes.
const baseMemory = 16 << 20

// SpareMemory returns how much of the memory limit is left for commands, answers and records of customers, and for the
// garbage that they leave, in bytes.
func (c *Config) SpareMemory() int64 { return max(c.MemoryLimit-baseMemory, 0) }

// Load reads the file named by the environment variable GW_CONFIG. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_COUNTER
// override its keys. An error is a *KeyError; the Config must not be used then.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, false) }

// Reload reads the file again in a running gateway. Unlike at the start, the discovery address in the file overrides
// GW_DISCOVERY, because a running process can't be given another environment.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, true) }

func load(getenv func(string) string, reload bool) (*Config, error) {
	f, err := openFile(getenv)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:                f.textOr("name", "GW_NAME", defaultName),
		InitialEndpointList: f.typed("known", gjson.JSON).Raw,
		StartupKeysHash:     hashStartupKeys(f.object),
	}
	c.readProcessKeys(f, reload)
	c.readSettings(f)
	c.readCounter(f)
	sections := []func(*file) error{
		c.readConfiguration,
		c.readPeers,
		c.readCounterfactual,
		c.readPool,
	}
	for _, readSection := range sections {
		if f.err == nil {
			f.err = readSection(f)
		}
	}
	return c, f.err
}

// readProcessKeys reads the keys that differ between the gateways of a deployment.
func (c *Config) readProcessKeys(f *file, reload bool) {
	c.Listen = f.address("listen", f.textOr("listen", "GW_LISTEN", ""))
	discovery := f.textOr("discovery", "", "")
	if !reload || discovery == "" {
		discovery = f.textOr("discovery", "GW_DISCOVERY", "")
	}
	c.DiscoveryAddress = f.address("discovery", discovery).String()
	c.MemoryLimit = int64(f.numberOr("limits.memory_mb", minMemoryMB, defaultMemoryMB)) << 20
	c.MaxDescriptors = int(f.numberOr("limits.sockets", minSockets, defaultSockets))
	seed := f.textOr("seed", "", defaultSeed)
	if f.err == nil {
		number, err := strconv.ParseUint(seed, 16, 64)
		c.Seed = number
		f.err = keyError("seed", err)
	}
}

// readSettings reads the settings that all gateways of the deployment share.
func (c *Config) readSettings(f *file) {
	settings, err := DecodeSettings(f.typed("settings", gjson.JSON).Raw)
	c.Settings = settings
	if f.err == nil {
		f.err = keyError("settings", err)
	}
	if f.err == nil {
		f.err = keyError("settings", c.checkAndSetDefaults())
	}
}

// readCounter reads the address of the shared counter and turns the counter off if it can't be used.
func (c *Config) readCounter(f *file) {
	address := f.textOr("counter", "GW_COUNTER", "")
	if f.err == nil && address != "" {
		c.CounterAddress = f.address("counter", address)
	}
	if f.err == nil {
		c.resolveCounter()
	}
}

// readConfiguration reads the section on the publishers of the configuration. If there is one, it also assigns IDs to
// the quota plans of the file.
func (c *Config) readConfiguration(f *file) (err error) {
	c.Configuration, err = decodeConfiguration(f.section("configuration"))
	if err == nil && c.Configuration != nil {
		err = c.assignPlanIDs()
	}
	return keyError("configuration", err)
}

// readPeers reads the gossip addresses, if the gateways exchange gossip. For a single gateway it reads them only if the
// file has peer_listen and publishers, whose documents may add members.
func (c *Config) readPeers(f *file) error {
	mayGrow := c.Configuration != nil && f.object.Get("peer_listen").Exists()
	if !c.Membership.Gossip || c.Membership.Count == 1 && !mayGrow {
		return nil
	}
	c.PeerListen = f.address("peer_listen", f.textOr("peer_listen", "", ""))
	for i, peer := range f.typed("peers", gjson.JSON).Array() {
		c.Peers = append(c.Peers, f.address(elementPath("peers", i), peer.Str))
	}
	if f.err != nil {
		return f.err
	}
	if len(c.Peers) != c.Membership.Count {
		return keyErrorf("peers", "%d addresses for %d gateways", len(c.Peers), c.Membership.Count)
	}
	if c.Configuration == nil {
		return nil
	}
	return keyError("configuration", checkDistinct(c.Peers))
}

// readCounterfactual reads the section on the counterfactual observer, which can't be combined with the section on the
// publishers.
func (c *Config) readCounterfactual(f *file) (err error) {
	c.Counterfactual, err = decodeCounterfactual(f.section("counterfactual"), c.Membership.Count)
	if err != nil {
		return keyError("counterfactual", err)
	}
	if c.Configuration != nil && c.Counterfactual != nil {
		return keyError("configuration", errWithCounterfactual)
	}
	return nil
}

// readPool reads the section on the connection quota of a shared store.
func (c *Config) readPool(f *file) (err error) {
	c.Pool, err = decodePool(f.section("pool"), c.Settings)
	return keyError("pool", err)
}

// checkAndSetDefaults returns an error for settings with which a gateway can't serve requests, and sets the default
// timeouts of connections to hosts.
func (s *Settings) checkAndSetDefaults() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return errors.New("profiles, plans: one of each wanted at least")
	}
	for i, class := range s.Classes {
		if err := checkClass(s.ClassNames[i], class); err != nil {
			return keyError(elementPath("profiles", i), err)
		}
	}
	for i, name := range s.PlanNames {
		if err := checkPlan(name); err != nil {
			return keyError(elementPath("plans", i)+".name", err)
		}
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = defaultConnIdle
	}
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}
