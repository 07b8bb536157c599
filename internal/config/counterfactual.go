package config

import (
	"errors"
	"fmt"
	"net/netip"
)

// Counterfactual is the optional section on estimates of what other hosts would have answered (docs/counterfactual.md).
type Counterfactual struct {
	Listen     netip.AddrPort   `json:"listen"`     // UDP for summaries; a collector takes questions there by TCP
	Peers      []netip.AddrPort `json:"peers"`      // by seat, as this gateway sees them: whom a summary is of follows from it
	Collectors []int            `json:"collectors"` // seats that merge summaries and answer questions
	Part       float64          `json:"part"`       // of the module's rounds is recorded, drawn by chance
	Window     int              `json:"window_ms"`  // a summary tells of so long
	Grace      int              `json:"grace_ms"`   // summaries that come so late still count
	Keep       int              `json:"keep_s"`     // a collector's memory reaches so far back
	Queue      int              `json:"queue"`      // records that wait to be folded; more are counted as lost
	Cells      int              `json:"cells"`      // of a gateway's window
	Ledger     int              `json:"ledger"`     // cells that a collector holds
	Missing    float64          `json:"missing"`    // part of the dispatches that a figure may lack
	Records    string           `json:"records"`    // a file that each record is added to; none
	RecordsMB  int              `json:"records_mb"` // and its most
	Ask        netip.AddrPort   `json:"ask"`        // where a collector takes questions; listen's where not given
}

// counterfactual reads the section; nil where there is none.
func (c *Config) counterfactual(raw string) (*Counterfactual, error) {
	if raw == "" {
		return nil, nil
	}
	s := &Counterfactual{Part: 0.1, Window: 2000, Keep: 120, Queue: 1024, Cells: 8192, Ledger: 200_000, Missing: 0.05,
		RecordsMB: 64}
	text := struct {
		*Counterfactual
		Listen string   `json:"listen"`
		Peers  []string `json:"peers"`
		Ask    string   `json:"ask"`
	}{Counterfactual: s}
	if err := strict(raw, &text); err != nil {
		return nil, err
	}
	addr := func(key, text string) (netip.AddrPort, error) {
		if text == "" {
			return netip.AddrPort{}, fmt.Errorf("%s: missing", key)
		}
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return a, fmt.Errorf("%s: %w", key, err)
		}
		return a, nil
	}
	var err error
	if s.Listen, err = addr("listen", text.Listen); err != nil {
		return nil, err
	}
	if s.Ask = s.Listen; text.Ask != "" {
		if s.Ask, err = addr("ask", text.Ask); err != nil {
			return nil, err
		}
	}
	for i, p := range text.Peers {
		a, err := addr(fmt.Sprintf("peers.%d", i), p)
		if err != nil {
			return nil, err
		}
		s.Peers = append(s.Peers, a)
	}
	if s.Grace == 0 {
		s.Grace = 3 * s.Window
	}
	for _, n := range []struct {
		key         string
		v, from, to int
	}{{"window_ms", s.Window, 100, 600_000}, {"grace_ms", s.Grace, 1, 3_600_000}, {"keep_s", s.Keep, 1, 86_400},
		{"queue", s.Queue, 1, 1 << 20}, {"cells", s.Cells, 64, 1 << 20}, {"ledger", s.Ledger, 64, 1 << 24},
		{"records_mb", s.RecordsMB, 1, 1 << 16}} {
		if n.v < n.from || n.v > n.to {
			return nil, fmt.Errorf("%s: %d is not from %d to %d", n.key, n.v, n.from, n.to)
		}
	}
	switch {
	case len(s.Peers) != c.Membership.Count:
		return nil, fmt.Errorf("peers: %d addresses for %d gateways", len(s.Peers), c.Membership.Count)
	case len(s.Collectors) == 0:
		return nil, errors.New("collectors: missing")
	case !(s.Part > 0 && s.Part <= 1):
		return nil, fmt.Errorf("part: %g is not above 0 and up to 1", s.Part)
	case !(s.Missing >= 0 && s.Missing <= 0.5):
		return nil, fmt.Errorf("missing: %g is not from 0 to 0.5", s.Missing)
	case s.Keep*1000 < s.Grace+2*s.Window:
		return nil, fmt.Errorf("keep_s: %d s is less than grace_ms and two windows", s.Keep)
	}
	for i, seat := range s.Collectors {
		if seat < 0 || seat >= c.Membership.Count {
			return nil, fmt.Errorf("collectors.%d: no seat %d", i, seat)
		}
	}
	return s, nil
}
