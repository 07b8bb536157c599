package config

import (
	"net/netip"
	"time"
)

// Counterfactual is the optional section on estimates of what other hosts would have answered (docs/counterfactual.md).
type Counterfactual struct {
	Listen      netip.AddrPort   // UDP, for summaries
	QueryListen netip.AddrPort   // TCP, where a collector answers queries
	Peers       []netip.AddrPort // by member index, as this gateway sees them: they identify a summary's sender
	Collectors  []int            // members that merge summaries and answer queries

	RecordedFraction float64       // of the decision module's batches, drawn at random
	Window           time.Duration // covered by one summary
	Grace            time.Duration // in which a late summary still counts
	Retention        time.Duration // of a collector's windows
	QueueLength      int           // records that wait to be folded; more are counted as lost
	MaxCells         int           // of a gateway's window
	MaxLedgerCells   int           // of a collector
	MaxMissing       float64       // fraction of the attempts that a result may lack

	RecordsFile     string // to which each record is appended; empty: none
	RecordsMaxBytes int
}

// counterfactualSection is the section as it is written.
type counterfactualSection struct {
	Listen     string   `json:"listen"`
	Ask        string   `json:"ask"`
	Peers      []string `json:"peers"`
	Collectors []int    `json:"collectors"`
	Part       float64  `json:"part"`
	WindowMS   int      `json:"window_ms"`
	GraceMS    int      `json:"grace_ms"`
	KeepS      int      `json:"keep_s"`
	Queue      int      `json:"queue"`
	Cells      int      `json:"cells"`
	Ledger     int      `json:"ledger"`
	Missing    float64  `json:"missing"`
	Records    string   `json:"records"`
	RecordsMB  int      `json:"records_mb"`
}

// decodeCounterfactual reads the section; it returns nil where there is none.
func decodeCounterfactual(raw string, members int) (*Counterfactual, error) {
	if raw == "" {
		return nil, nil
	}
	section := &counterfactualSection{
		Part:      0.1,
		WindowMS:  2000,
		KeepS:     120,
		Queue:     1024,
		Cells:     8192,
		Ledger:    200_000,
		Missing:   0.05,
		RecordsMB: 64,
	}
	if err := decodeSection(raw, section); err != nil {
		return nil, err
	}
	c := &Counterfactual{}
	if err := c.readAddresses(section); err != nil {
		return nil, err
	}
	if section.GraceMS == 0 {
		section.GraceMS = 3 * section.WindowMS
	}
	if err := section.checkNumbers(); err != nil {
		return nil, err
	}
	if err := section.checkFleet(members); err != nil {
		return nil, err
	}
	c.readValues(section)
	return c, nil
}

func (c *Counterfactual) readAddresses(section *counterfactualSection) (err error) {
	c.Listen, err = parseAddress("listen", section.Listen)
	if err != nil {
		return err
	}
	c.QueryListen = c.Listen
	if section.Ask != "" {
		c.QueryListen, err = parseAddress("ask", section.Ask)
	}
	if err != nil {
		return err
	}
	for i, peer := range section.Peers {
		address, err := parseAddress(elementPath("peers", i), peer)
		if err != nil {
			return err
		}
		c.Peers = append(c.Peers, address)
	}
	return nil
}

func (c *Counterfactual) readValues(section *counterfactualSection) {
	c.Collectors = section.Collectors
	c.RecordedFraction = section.Part
	c.Window = milliseconds(section.WindowMS)
	c.Grace = milliseconds(section.GraceMS)
	c.Retention = time.Duration(section.KeepS) * time.Second
	c.QueueLength = section.Queue
	c.MaxCells = section.Cells
	c.MaxLedgerCells = section.Ledger
	c.MaxMissing = section.Missing
	c.RecordsFile = section.Records
	c.RecordsMaxBytes = section.RecordsMB << 20
}

// checkNumbers checks each integer against its bounds.
func (s *counterfactualSection) checkNumbers() error {
	return checkIntegers(
		integer{"window_ms", s.WindowMS, 100, 600_000},
		integer{"grace_ms", s.GraceMS, 1, 3_600_000},
		integer{"keep_s", s.KeepS, 1, 86_400},
		integer{"queue", s.Queue, 1, 1 << 20},
		integer{"cells", s.Cells, 64, 1 << 20},
		integer{"ledger", s.Ledger, 64, 1 << 24},
		integer{"records_mb", s.RecordsMB, 1, 1 << 16},
	)
}

// checkFleet checks what depends on the number of gateways and on other keys.
func (s *counterfactualSection) checkFleet(members int) error {
	if len(s.Peers) != members {
		return keyErrorf("peers", "%d addresses for %d gateways", len(s.Peers), members)
	}
	if len(s.Collectors) == 0 {
		return keyError("collectors", errMissing)
	}
	if err := checkFraction("part", s.Part, 0, 1, true); err != nil {
		return err
	}
	if err := checkFraction("missing", s.Missing, 0, 0.5, false); err != nil {
		return err
	}
	if s.KeepS*1000 < s.GraceMS+2*s.WindowMS {
		return keyErrorf("keep_s", "%d s is less than grace_ms and two windows", s.KeepS)
	}
	for i, member := range s.Collectors {
		if member < 0 || member >= members {
			return keyErrorf(elementPath("collectors", i), "no seat %d", member)
		}
	}
	return nil
}
