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

// Config is all that one gateway on sockets is told.
type Config struct {
	Name       string
	Listen     netip.AddrPort // where clients connect
	Discovery  string
	Seed       uint64
	Memory     int64 // bytes
	Sockets    int   // descriptors
	PeerListen netip.AddrPort
	Peers      []netip.AddrPort // by seat; none where gateways don't message each other
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

func read(getenv func(string) string, again bool) (*Config, error) {
	file := getenv("GW_CONFIG")
	if file == "" {
		return nil, errors.New("GW_CONFIG: not set; it names the configuration file")
	}
	text, err := readText(file)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	s, err := newSettings("", text)
	if err != nil {
		return nil, errors.New("GW_CONFIG: the file holds no JSON object")
	}
	word := func(key, env, def string) string {
		if v := getenv(env); env != "" && v != "" {
			return v
		}
		if v := s.text(key); v != "" {
			return v
		}
		return def
	}
	fail := func(key string, err error) {
		if s.err == nil && err != nil {
			s.err = fmt.Errorf("%s: %w", key, err)
		}
	}
	addr := func(key, text string) netip.AddrPort {
		if text == "" {
			fail(key, errors.New("missing"))
			return netip.AddrPort{}
		}
		a, err := netip.ParseAddrPort(text)
		fail(key, err)
		return a
	}
	number := func(key string, least, def float64) float64 {
		v := s.num(key)
		if v == 0 {
			return def
		}
		if v < least {
			fail(key, fmt.Errorf("%v is below %v", v, least))
		}
		return v
	}
	c := &Config{Name: word("name", "GW_NAME", "ravensill"), Known: s.at("known", gjson.JSON).Raw}
	c.Listen = addr("listen", word("listen", "GW_LISTEN", ""))
	if at := word("discovery", "", ""); again && at != "" {
		c.Discovery = addr("discovery", at).String()
	} else {
		c.Discovery = addr("discovery", word("discovery", "GW_DISCOVERY", "")).String()
	}
	c.Memory = int64(number("limits.memory_mb", 32, 192)) << 20
	c.Sockets = int(number("limits.sockets", 64, 1024))
	if seed := word("seed", "", "1"); s.err == nil {
		var err error
		c.Seed, err = strconv.ParseUint(seed, 16, 64)
		fail("seed", err)
	}
	c.Fixed = fixedKeys(s.obj)
	c.Settings, err = Decode(s.at("settings", gjson.JSON).Raw)
	fail("settings", err)
	if s.err == nil {
		fail("settings", c.check())
	}
	if at := word("counter", "GW_COUNTER", ""); s.err == nil && at != "" {
		c.Counter = addr("counter", at)
	}
	if s.err == nil {
		c.counter()
	}
	if s.err == nil {
		c.Configuration, err = c.configuration(s.obj.Get("configuration").Raw)
		fail("configuration", err)
	}
	if s.err == nil && c.Configuration != nil {
		fail("configuration", c.identify())
	}
	// A fleet of one may grow by a document.
	mayGrow := c.Configuration != nil && s.obj.Get("peer_listen").Exists()
	if s.err == nil && c.Membership.Gossip && (c.Membership.Count > 1 || mayGrow) {
		c.PeerListen = addr("peer_listen", word("peer_listen", "", ""))
		for i, p := range s.at("peers", gjson.JSON).Array() {
			c.Peers = append(c.Peers, addr(fmt.Sprintf("peers.%d", i), p.Str))
		}
		if len(c.Peers) != c.Membership.Count {
			fail("peers", fmt.Errorf("%d addresses for %d gateways", len(c.Peers), c.Membership.Count))
		}
		if c.Configuration != nil {
			fail("configuration", distinct(c.Peers))
		}
	}
	if s.err == nil {
		c.Counterfactual, err = c.counterfactual(s.obj.Get("counterfactual").Raw)
		fail("counterfactual", err)
		if c.Configuration != nil && c.Counterfactual != nil {
			fail("configuration", errCombined)
		}
	}
	if s.err == nil {
		c.Pool, err = c.pool(s.obj.Get("pool").Raw)
		fail("pool", err)
	}
	return c, s.err
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
			return keyed(elementPath("profiles", i)+": ", err)
		}
	}
	for i, name := range s.PlanNames {
		if err := checkPlan(name); err != nil {
			return keyed(elementPath("plans", i)+".", err)
		}
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = int64(30 * time.Second)
	}
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = int64(250 * time.Millisecond)
	}
	return nil
}

// keyed puts a path in front of an error, where there is one.
func keyed(prefix string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s%w", prefix, err)
}
