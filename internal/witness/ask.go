package witness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"ravensill/counterfactual"
)

// Ask is a question to a collector.
type Ask struct {
	Frontend string  `json:"frontend"` // "" each
	Host     string  `json:"host"`     // one single host in place of all rules
	Rule     string  `json:"rule"`     // with Part: a rule in force
	Part     float64 `json:"part"`     // for this part of all dispatches
	Last     int     `json:"last"`     // sealed windows; 0 all that are kept
	Hosts    bool    `json:"hosts"`    // also each host that was seen
	Counts   bool    `json:"counts"`   // what became of the messages, in place of figures
}

// State is a collector's.
type State struct {
	counterfactual.Counts
	Bin    int64 // under way
	Sealed int64 // the newest that no longer changes
}

func readAsk(line []byte) (a Ask, err error) {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err = d.Decode(&a); err != nil {
		return a, err
	}
	if a.Last < 0 || a.Last > 1<<20 {
		return a, errors.New("last: below zero, or too many")
	}
	if !(a.Part >= 0 && a.Part <= 1) {
		return a, errors.New("part: not from 0 to 1")
	}
	if (a.Rule != "") != (a.Part > 0) {
		return a, errors.New("rule, part: both or none wanted")
	}
	return a, nil
}

// answer gives one object for each line.
func (w *Witness) answer(a *Ask) (all []any) {
	if a.Counts {
		return []any{State{w.ledger.Counts, w.now() / (int64(w.set.Window) * 1e6), w.ledger.Sealed(w.now())}}
	}
	fronts, to := []int(nil), w.ledger.Sealed(w.now())
	for i, name := range w.names {
		if a.Frontend == "" || a.Frontend == name {
			fronts = append(fronts, i)
		}
	}
	if fronts == nil {
		return []any{map[string]string{"error": fmt.Sprintf("frontend: there is no %q", a.Frontend)}}
	}
	from := w.ledger.First()
	if a.Last > 0 {
		from = max(from, to-int64(a.Last)+1)
	}
	for _, f := range fronts {
		switch {
		case a.Rule != "":
			r, ok := counterfactual.ReadRule(a.Rule)
			if !ok {
				return []any{map[string]string{"error": fmt.Sprintf("rule: there is no %q", a.Rule)}}
			}
			all = append(all, w.ledger.Replaced(f, r, a.Part, from, to))
		case a.Host != "":
			number, ok := w.number(a.Host)
			if !ok {
				return []any{map[string]string{"error": fmt.Sprintf("host: there is no %q", a.Host)}}
			}
			all = append(all, w.ledger.One(f, number, from, to))
		default:
			for _, x := range w.ledger.Panel(f, from, to) {
				all = append(all, x)
			}
		}
		if a.Hosts {
			for _, h := range w.ledger.Hosts(f, from, to) {
				all = append(all, w.ledger.One(f, h, from, to))
			}
		}
	}
	return all
}

// Name tells the hosts' ids by their numbers; the map is not changed after that.
func (w *Witness) Name(ids map[uint32]string) { w.ids.Store(&ids) }

func (w *Witness) id(number uint32) string {
	if ids := w.ids.Load(); ids != nil {
		return (*ids)[number]
	}
	return ""
}

func (w *Witness) number(id string) (uint32, bool) {
	if ids := w.ids.Load(); ids != nil {
		for number, x := range *ids {
			if x == id {
				return number, true
			}
		}
	}
	return 0, false
}

func addr(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

func (n *name) encode() []byte {
	b, err := cbor.Marshal(n)
	if err != nil {
		panic(err) // plain numbers always encode
	}
	return b
}

func decodeName(b []byte) *name {
	n := &name{}
	if len(b) > 32 || cbor.Unmarshal(b, n) != nil {
		return nil
	}
	return n
}
