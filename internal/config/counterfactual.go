package config

import "net/netip"

// Counterfactual is the optional section on estimates of what other hosts would have answered (docs/counterfactual.md).
type Counterfactual struct {
	Listen           netip.AddrPort   `json:"listen"`     // UDP for summaries; a collector takes questions there by TCP
	Peers            []netip.AddrPort `json:"peers"`      // by member index, as this gateway sees them: whom a summary is of follows from it
	Collectors       []int            `json:"collectors"` // members that merge summaries and answer questions
	RecordedFraction float64          `json:"part"`       // fraction of the module's batches that is recorded, drawn at random
	Window           int              `json:"window_ms"`  // a summary covers so long
	Grace            int              `json:"grace_ms"`   // summaries that come so late still count
	Retention        int              `json:"keep_s"`     // a collector's memory reaches so far back
	QueueLength      int              `json:"queue"`      // records that wait to be folded; more are counted as lost
	MaxCells         int              `json:"cells"`      // of a gateway's window
	MaxLedgerCells   int              `json:"ledger"`     // cells that a collector holds
	MaxMissing       float64          `json:"missing"`    // fraction of the attempts that a figure may lack
	RecordsFile      string           `json:"records"`    // a file that each record is added to; empty: none
	RecordsMB        int              `json:"records_mb"` // and its most
	QueryListen      netip.AddrPort   `json:"ask"`        // where a collector takes questions; Listen where not given
}

// counterfactualSection is the section as it is written.
type counterfactualSection struct {
	*Counterfactual
	Listen string   `json:"listen"`
	Peers  []string `json:"peers"`
	Ask    string   `json:"ask"`
}

// counterfactual reads the section; nil where there is none.
func (c *Config) counterfactual(raw string) (*Counterfactual, error) {
	if raw == "" {
		return nil, nil
	}
	s := &Counterfactual{RecordedFraction: 0.1, Window: 2000, Retention: 120, QueueLength: 1024, MaxCells: 8192, MaxLedgerCells: 200_000, MaxMissing: 0.05,
		RecordsMB: 64}
	text := counterfactualSection{Counterfactual: s}
	if err := strict(raw, &text); err != nil {
		return nil, err
	}
	if err := s.addresses(&text); err != nil {
		return nil, err
	}
	if s.Grace == 0 {
		s.Grace = 3 * s.Window
	}
	if err := s.checkNumbers(); err != nil {
		return nil, err
	}
	return s, s.checkFleet(c.Membership.Count)
}

// addresses reads the addresses of the section.
func (s *Counterfactual) addresses(text *counterfactualSection) (err error) {
	s.Listen, err = parseAddress("listen", text.Listen)
	if err != nil {
		return err
	}
	s.QueryListen = s.Listen
	if text.Ask != "" {
		s.QueryListen, err = parseAddress("ask", text.Ask)
	}
	if err != nil {
		return err
	}
	for i, peer := range text.Peers {
		address, err := parseAddress(elementPath("peers", i), peer)
		if err != nil {
			return err
		}
		s.Peers = append(s.Peers, address)
	}
	return nil
}

// checkNumbers looks at the numbers that stand for themselves.
func (s *Counterfactual) checkNumbers() error {
	return checkIntegers(
		integer{"window_ms", s.Window, 100, 600_000},
		integer{"grace_ms", s.Grace, 1, 3_600_000},
		integer{"keep_s", s.Retention, 1, 86_400},
		integer{"queue", s.QueueLength, 1, 1 << 20},
		integer{"cells", s.MaxCells, 64, 1 << 20},
		integer{"ledger", s.MaxLedgerCells, 64, 1 << 24},
		integer{"records_mb", s.RecordsMB, 1, 1 << 16},
	)
}

// checkFleet looks at what depends on the number of gateways and on other keys.
func (s *Counterfactual) checkFleet(members int) error {
	if len(s.Peers) != members {
		return keyErrorf("peers", "%d addresses for %d gateways", len(s.Peers), members)
	}
	if len(s.Collectors) == 0 {
		return keyError("collectors", errMissing)
	}
	if err := fractionError("part", s.RecordedFraction, 0, 1, true); err != nil {
		return err
	}
	if err := fractionError("missing", s.MaxMissing, 0, 0.5, false); err != nil {
		return err
	}
	if s.Retention*1000 < s.Grace+2*s.Window {
		return keyErrorf("keep_s", "%d s is less than grace_ms and two windows", s.Retention)
	}
	for i, member := range s.Collectors {
		if member < 0 || member >= members {
			return keyErrorf(elementPath("collectors", i), "no seat %d", member)
		}
	}
	return nil
}
