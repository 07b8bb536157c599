package config

import "net/netip"

// Counterfactual is the optional section on estimates of what other hosts would have answered (docs/counterfactual.md).
type Counterfactual struct {
	Listen     netip.AddrPort   `json:"listen"`     // UDP for summaries; a collector takes questions there by TCP
	Peers      []netip.AddrPort `json:"peers"`      // by member index, as this gateway sees them: whom a summary is of follows from it
	Collectors []int            `json:"collectors"` // members that merge summaries and answer questions
	Part       float64          `json:"part"`       // fraction of the module's batches that is recorded, drawn at random
	Window     int              `json:"window_ms"`  // a summary covers so long
	Grace      int              `json:"grace_ms"`   // summaries that come so late still count
	Keep       int              `json:"keep_s"`     // a collector's memory reaches so far back
	Queue      int              `json:"queue"`      // records that wait to be folded; more are counted as lost
	Cells      int              `json:"cells"`      // of a gateway's window
	Ledger     int              `json:"ledger"`     // cells that a collector holds
	Missing    float64          `json:"missing"`    // fraction of the attempts that a figure may lack
	Records    string           `json:"records"`    // a file that each record is added to; empty: none
	RecordsMB  int              `json:"records_mb"` // and its most
	Ask        netip.AddrPort   `json:"ask"`        // where a collector takes questions; Listen where not given
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
	s := &Counterfactual{Part: 0.1, Window: 2000, Keep: 120, Queue: 1024, Cells: 8192, Ledger: 200_000, Missing: 0.05,
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
	s.Ask = s.Listen
	if text.Ask != "" {
		s.Ask, err = parseAddress("ask", text.Ask)
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
		integer{"keep_s", s.Keep, 1, 86_400},
		integer{"queue", s.Queue, 1, 1 << 20},
		integer{"cells", s.Cells, 64, 1 << 20},
		integer{"ledger", s.Ledger, 64, 1 << 24},
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
	if err := fractionError("part", s.Part, 0, 1, true); err != nil {
		return err
	}
	if err := fractionError("missing", s.Missing, 0, 0.5, false); err != nil {
		return err
	}
	if s.Keep*1000 < s.Grace+2*s.Window {
		return keyErrorf("keep_s", "%d s is less than grace_ms and two windows", s.Keep)
	}
	for i, member := range s.Collectors {
		if member < 0 || member >= members {
			return keyErrorf(elementPath("collectors", i), "no seat %d", member)
		}
	}
	return nil
}
