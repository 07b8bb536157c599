package config

import (
	"net/netip"
	"time"
)

// Counterfactual is the optional section on estimates of what other hosts would have answered (docs/counterfactual.md).
// Each gateway summarizes its records for the collectors, which are gateways that merge the summaries.
type Counterfactual struct {
	Listen      netip.AddrPort   // UDP address that receives summaries
	QueryListen netip.AddrPort   // TCP address at which a collector answers queries
	Peers       []netip.AddrPort // by member index, as this gateway sees them: addresses that identify a summary's sender
	Collectors  []int            // members that merge summaries and answer queries

	RecordedFraction float64       // fraction of the decision module's batches that is recorded, drawn at random
	Window           time.Duration // time that one summary covers
	Grace            time.Duration // time after the end of a window in which its late summaries still count
	Retention        time.Duration // time for which a collector keeps its windows
	QueueLength      int           // records that may wait to be summarized; records beyond that are counted as lost
	MaxCells         int           // most cells in a gateway's window
	MaxLedgerCells   int           // most cells that a collector keeps
	MaxMissing       float64       // largest fraction of the attempts that a result may lack

	RecordsFile     string // file to which each record is appended; empty: none
	RecordsMaxBytes int    // bytes that one process appends before it stops writing records
}

// counterfactualSection is the JSON object at the key counterfactual of the file, before it is checked and converted.
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

// decodeCounterfactual decodes the section of a gateway in a fleet of some members. It returns nil for an empty text,
// if the file has no such section.
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
	if err := section.checkBounds(); err != nil {
		return nil, err
	}
	if err := section.checkConsistency(members); err != nil {
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

// checkBounds returns an error for the first integer that is out of its bounds.
func (s *counterfactualSection) checkBounds() error {
	return checkIntegers(
		boundedInteger{"window_ms", s.WindowMS, 100, 600_000},
		boundedInteger{"grace_ms", s.GraceMS, 1, 3_600_000},
		boundedInteger{"keep_s", s.KeepS, 1, 86_400},
		boundedInteger{"queue", s.Queue, 1, 1 << 20},
		boundedInteger{"cells", s.Cells, 64, 1 << 20},
		boundedInteger{"ledger", s.Ledger, 64, 1 << 24},
		boundedInteger{"records_mb", s.RecordsMB, 1, 1 << 16},
	)
}

// checkConsistency checks the lists and fractions of the section, and what depends on the number of gateways or on
// several keys.
func (s *counterfactualSection) checkConsistency(members int) error {
	if len(s.Peers) != members {
		return keyErrorf("peers", "%d addresses for %d gateways", len(s.Peers), members)
	}
	if len(s.Collectors) == 0 {
		return keyError("collectors", errMissing)
	}
	if err := checkNumber("part", s.Part, 0, 1, true); err != nil {
		return err
	}
	if err := checkNumber("missing", s.Missing, 0, 0.5, false); err != nil {
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
