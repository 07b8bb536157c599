package config

import (
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Config is the whole configuration of one gateway on sockets.
type Config struct {
	Name       string
	Listen     netip.AddrPort // where clients connect
	Discovery  string
	Seed       uint64
	Memory     int64 // bytes
	Sockets    int   // descriptors
	PeerListen netip.AddrPort
	Peers      []netip.AddrPort // by member index; none where gateways exchange no gossip
	Counter    netip.AddrPort   // the shared counter; none where the settings know none
	Known      string           // the list as last had; may be empty. A part of the file's text: it keeps all of that in memory
	Fixed      uint64           // a hash of the keys that count from the start on only; it holds in this process alone
	*Settings
	Counterfactual *Counterfactual // nil: off
	Pool           *Pool           // nil: off
	Configuration  *Configuration  // nil: off
}

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY go before its keys.
func Load(getenv func(string) string) (*Config, error) { return read(getenv, false) }

// Reload reads the file anew, while running. GW_DISCOVERY tells where discovery was at the start: now it only
// stands in for a key that the file lacks.
func Reload(getenv func(string) string) (*Config, error) { return read(getenv, true) }

// read reads, checks and completes the configuration.
func read(getenv func(string) string, again bool) (*Config, error) {
	f, err := openFile(getenv)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:  f.word("name", "GW_NAME", defaultName),
		Known: f.at("known", gjson.JSON).Raw,
		Fixed: fixedKeys(f.obj),
	}
	c.readOwn(f, again)
	c.readSettings(f)
	c.readCounter(f)
	for _, section := range []func(*file) error{c.readConfiguration, c.readPeers, c.readCounterfactual, c.readPool} {
		if f.err == nil {
			f.err = section(f)
		}
	}
	return c, f.err
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

// file is the configuration file with the environment variables that go before its keys. It keeps the first fault.
type file struct {
	*settings
	getenv func(string) string
}

// openFile reads the file that GW_CONFIG names.
func openFile(getenv func(string) string) (*file, error) {
	name := getenv("GW_CONFIG")
	if name == "" {
		return nil, keyErrorf("GW_CONFIG", "not set; it names the configuration file")
	}
	text, err := readText(name)
	if err != nil {
		return nil, keyError("GW_CONFIG", err)
	}
	s, err := newSettings("", text)
	if err != nil {
		return nil, keyErrorf("GW_CONFIG", "the file holds no JSON object")
	}
	return &file{settings: s, getenv: getenv}, nil
}

// word returns the text of a variable or, where that is not set, of a key, or a default. variable is empty for a key that has none.
func (f *file) word(key, variable, missing string) string {
	if variable != "" && f.getenv(variable) != "" {
		return f.getenv(variable)
	}
	if text := f.text(key); text != "" {
		return text
	}
	return missing
}

// address reads an address that has to be given.
func (f *file) address(key, text string) netip.AddrPort {
	address, err := parseAddress(key, text)
	if f.err == nil {
		f.err = err
	}
	return address
}

// number returns the number of a key, or a default where it is missing.
func (f *file) number(key string, least, missing float64) float64 {
	number := f.num(key)
	if number == 0 {
		return missing
	}
	if number < least {
		f.fail(key, fmt.Errorf("%v is below %v", number, least))
	}
	return number
}

// readOwn reads what is of this gateway alone. At a reload the file's discovery goes before its variable.
func (c *Config) readOwn(f *file, again bool) {
	c.Listen = f.address("listen", f.word("listen", "GW_LISTEN", ""))
	discovery := f.word("discovery", "", "")
	if !again || discovery == "" {
		discovery = f.word("discovery", "GW_DISCOVERY", "")
	}
	c.Discovery = f.address("discovery", discovery).String()
	c.Memory = int64(f.number("limits.memory_mb", minMemoryMB, defaultMemoryMB)) << 20
	c.Sockets = int(f.number("limits.sockets", minSockets, defaultSockets))
	seed := f.word("seed", "", defaultSeed)
	if f.err == nil {
		number, err := strconv.ParseUint(seed, 16, 64)
		c.Seed = number
		f.err = keyError("seed", err)
	}
}

// readSettings reads what is the same for all gateways of the deployment.
func (c *Config) readSettings(f *file) {
	settings, err := Decode(f.at("settings", gjson.JSON).Raw)
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
	if address := f.word("counter", "GW_COUNTER", ""); f.err == nil && address != "" {
		c.Counter = f.address("counter", address)
	}
	if f.err == nil {
		c.counter()
	}
}

// readConfiguration reads the section on the configuration's publishers.
func (c *Config) readConfiguration(f *file) (err error) {
	c.Configuration, err = c.configuration(f.obj.Get("configuration").Raw)
	if err == nil && c.Configuration != nil {
		err = c.identify()
	}
	return keyError("configuration", err)
}

// readPeers reads the addresses of gossip, where gateways exchange any. A fleet of one may grow by a document.
func (c *Config) readPeers(f *file) error {
	mayGrow := c.Configuration != nil && f.obj.Get("peer_listen").Exists()
	if !c.Membership.Gossip || c.Membership.Count == 1 && !mayGrow {
		return nil
	}
	c.PeerListen = f.address("peer_listen", f.word("peer_listen", "", ""))
	for i, peer := range f.at("peers", gjson.JSON).Array() {
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
	return keyError("configuration", distinct(c.Peers))
}

// readCounterfactual reads the section on the counterfactual observer.
func (c *Config) readCounterfactual(f *file) (err error) {
	c.Counterfactual, err = c.counterfactual(f.obj.Get("counterfactual").Raw)
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
	c.Pool, err = c.pool(f.obj.Get("pool").Raw)
	return keyError("pool", err)
}

// readText reads a file into one string, with no second copy beside it: the document may be as large as the rest of the
// gateway.
func readText(name string) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer file.Close()
	var text strings.Builder
	if info, err := file.Stat(); err == nil && info.Mode().IsRegular() {
		text.Grow(int(info.Size()))
	}
	_, err = io.Copy(&text, file)
	return text.String(), err
}

var fixedSeed = maphash.MakeSeed()

// fixedKeys hashes the keys that count from the start on only.
func fixedKeys(document gjson.Result) uint64 {
	var hash maphash.Hash
	hash.SetSeed(fixedSeed)
	document.ForEach(func(key, value gjson.Result) bool {
		if k := key.Str; k != "discovery" && k != "known" && k != "seed" {
			hash.WriteString(k)
			hash.WriteByte(' ')
			hash.WriteString(value.Raw)
			hash.WriteByte('\n')
		}
		return true
	})
	return hash.Sum64()
}

// check looks for what a gateway on sockets can't do without, and gives defaults.
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
