package config

import (
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
)

// Config is the configuration of one gateway process.
type Config struct {
	Name             string
	Listen           netip.AddrPort // where clients connect
	DiscoveryAddress string
	Seed             uint64
	MemoryLimit      int64 // bytes
	MaxDescriptors   int   // file descriptors
	PeerListen       netip.AddrPort
	Peers            []netip.AddrPort // by member index; empty where gateways exchange no gossip
	CounterAddress   netip.AddrPort   // the shared counter; the zero address where there is none

	// InitialEndpointList is the endpoint list to start with; may be empty. It is a substring of the file's text, which stays
	// in memory with it.
	InitialEndpointList string
	// StartupKeysHash is a hash of the keys that take effect at a start alone. It is comparable within one process.
	StartupKeysHash uint64

	*Settings
	Counterfactual *Counterfactual // nil: off
	Pool           *Pool           // nil: off
	Configuration  *Configuration  // nil: off
}

const (
	defaultName     = "ravensill"
	defaultSeed     = "1"
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64

	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY override its keys.
func Load(getenv func(string) string) (*Config, error) { return read(getenv, false) }

// Reload reads the file again in a running gateway. The discovery address of the file overrides GW_DISCOVERY, which is
// that of the start.
func Reload(getenv func(string) string) (*Config, error) { return read(getenv, true) }

func read(getenv func(string) string, reload bool) (*Config, error) {
	f, err := openFile(getenv)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:                f.textOr("name", "GW_NAME", defaultName),
		InitialEndpointList: f.typed("known", gjson.JSON).Raw,
		StartupKeysHash:     hashFixedKeys(f.object),
	}
	c.readProcess(f, reload)
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

// readProcess reads the keys of this gateway alone.
func (c *Config) readProcess(f *file, reload bool) {
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
		f.err = keyError("settings", c.check())
	}
}

// readCounter reads the address of the shared counter.
func (c *Config) readCounter(f *file) {
	address := f.textOr("counter", "GW_COUNTER", "")
	if f.err == nil && address != "" {
		c.CounterAddress = f.address("counter", address)
	}
	if f.err == nil {
		c.resolveCounter()
	}
}

// readConfiguration reads the section on the configuration's publishers.
func (c *Config) readConfiguration(f *file) (err error) {
	c.Configuration, err = decodeConfiguration(f.section("configuration"))
	if err == nil && c.Configuration != nil {
		err = c.identifyPlans()
	}
	return keyError("configuration", err)
}

// readPeers reads the addresses of gossip, where gateways exchange any. A single gateway needs them if a document of
// the publishers may add members.
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

// readCounterfactual reads the section on the counterfactual observer.
func (c *Config) readCounterfactual(f *file) (err error) {
	c.Counterfactual, err = decodeCounterfactual(f.section("counterfactual"), c.Membership.Count)
	if err != nil {
		return keyError("counterfactual", err)
	}
	if c.Configuration != nil && c.Counterfactual != nil {
		return keyError("configuration", errCombined)
	}
	return nil
}

// readPool reads the section on the connection quota.
func (c *Config) readPool(f *file) (err error) {
	c.Pool, err = decodePool(f.section("pool"), c.Settings)
	return keyError("pool", err)
}

// check returns an error for settings that a gateway can't serve with, and sets defaults.
func (s *Settings) check() error {
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
