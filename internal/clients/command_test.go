package clients

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/golden"
	"ravensill/internal/resp"
)

var startCatalog = CatalogConfig{Classes: []string{"lookup", "order"}, Plans: []string{"basic", "team"}, Effects: []gateway.Effect{gateway.Idempotent, gateway.Deduplicated},
	MaxUnits: []float64{8, 8}, Members: 3, Own: 1}

// book writes down what commands say.
type recordingHandler struct{ strings.Builder }

func (b *recordingHandler) handleRequest(id, customer []byte, terms requestTerms, wait int64, again bool, verb, before, after, body []byte) {
	fmt.Fprintf(b, "%s of %s, %s: frontend %d, plan %d, %d ms, %g units, %d from %d, again %t; pass on %q %q %q\n", id, customer,
		verb, terms.Class, terms.Plan, wait/1e6, terms.Units, terms.Spread, terms.First, again, before, after, body)
}
func (b *recordingHandler) handlePing()               { b.WriteString("ping\n") }
func (b *recordingHandler) handleMalformed(err error) { fmt.Fprintln(b, err) }

func read(pieces ...string) string {
	var b recordingHandler
	in, c := bufconn.NewBuffer(resp.MaxValueBytes), CommandParser{catalog: NewCatalog(startCatalog)}
	for _, p := range pieces {
		in.Write([]byte(p))
		for ok := true; ok; {
			var err error
			if ok, err = c.Next(in, &b); err != nil {
				return b.String() + "ended: " + err.Error() + "\n"
			}
		}
	}
	return b.String()
}

// command is words as an array of bulks.
func command(words ...string) string {
	text := resp.AppendArrayHeader(nil, len(words))
	for _, w := range words {
		text = resp.AppendBulk(text, w)
	}
	return string(text)
}

const get, list = "00000000b4d65521", "c=lookup,t=team,d=480,units=2,spread=3,first=1"

var stream = command("CALL.GET", get, "9b1f03aa5c7e2d41", list) + command("PING") + command("CALL.POST", get, "a", "d=20,c=order,k=5c0f,x,t=basic,units=1.5,spread=3,first=0,r=1", "BO\r\nDY")

func TestCommands(t *testing.T) { // also cut at every byte
	whole := read(stream)
	golden.Check(t, whole)
	for i := range stream {
		if got := read(stream[:i], stream[i:]); got != whole {
			t.Errorf("cut at %d: %s", i, got)
		}
	}
}

func TestFaults(t *testing.T) { // the connection goes on after all but those of the stream
	var all strings.Builder
	for _, s := range []string{command("EVAL", "x"), command("CALL.GET", get, "a"), command("CALL.GET", "B4D65521", "a", list),
		command("CALL.GET", get, "", list), command("CALL.POST", get, "a", list), command("CALL.GET", get, "a", strings.Replace(list, "lookup", "order", 1)),
		command("CALL.GET", get, "a", strings.Replace(list, "team", "gold", 1)), command("CALL.GET", get, "a", strings.Replace(list, "480", "-1", 1)),
		command("CALL.GET", get, "a", strings.Replace(list, "units=2", "units=NaN", 1)), command("CALL.GET", get, "a", strings.Replace(list, "=3", "=4", 1)),
		command("CALL.GET", get, "a", strings.Replace(list, "first=1", "first=3", 1)), command("CALL.GET", get, "a", "c=lookup"),
		command("CALL.GET", "0000000200000000", "a", list), command("CALL.GET", get, "a b", list), command("CALL.GET", get, "a", list, "BODY"),
		command("CALL.GET", get, "a", strings.Replace(list, "480", "0", 1)), command("CALL.GET", get, "a", strings.Replace(list, "units=2", "units=0", 1)),
		command("CALL.GET", get, "a", strings.Replace(list, "units=2", "units=8.5", 1)), command("CALL.GET", get, "a", strings.Replace(list, "spread=3", "spread=0", 1)),
		command("CALL.GET", get, "a", strings.Replace(list, "spread=3,first=1", "spread=2,first=2", 1)), command("CALL.GET", get, "a", list+",d=9000"),
		command("CALL.GET", get, "a", list+",x=\r\n"), command("CALL.POST", get, "a", strings.Replace(list, "lookup", "order", 1)),
		"*1\r\n$-1\r\n", "+PING\r\n", "PING\r\n", "*4\r\n$8\r\nCALL.GET\r\n$70000\r\n"} {
		fmt.Fprintf(&all, "%.60q\n  %s", s, read(s, command("PING")))
	}
	golden.Check(t, all.String())
}

func FuzzCommands(f *testing.F) {
	f.Add(stream, 100)
	f.Add(command("CALL.GET", get, "a", "d=,c==,,t"), 30)
	f.Fuzz(func(t *testing.T, s string, at int) {
		if at < 0 || at > len(s) || len(s) > resp.MaxBulkBytes {
			return
		}
		if whole, cut := read(s), read(s[:at], s[at:]); whole != cut {
			t.Errorf("whole %q, cut at %d %q", whole, at, cut)
		}
	})
}

func TestAnswersKeepOrder(t *testing.T) { // answers come in the order of the commands, each once
	var let []int
	l := AnswerQueue{out: bufconn.NewBuffer(64), onReady: func(n int) { let = append(let, n) }}
	a, b, c := l.Add(), l.Add(), l.Add()
	b.give(rejection(1_000_001))
	c.give(errorReply("no\r\n+such"))
	if l.out.Len() > 0 {
		t.Error("an answer went before its turn")
	}
	a.give(successReply([]byte("v\r\n")))
	a.give(rejection(0))
	golden.Check(t, fmt.Sprintf("%sanswers let out: %v\n", l.out.Span(0, l.out.Len()), let))
	if l.Add().give(make([]byte, 65)); !l.full {
		t.Error("an answer that does not fit is not told")
	}
}

func BenchmarkCommands(b *testing.B) {
	in, c, one := bufconn.NewBuffer(resp.MaxValueBytes), CommandParser{catalog: NewCatalog(startCatalog)}, []byte(command("CALL.GET", get, "9b1f03aa5c7e2d41", list))
	b.ReportAllocs()
	for b.Loop() {
		in.Write(one)
		if ok, err := c.Next(in, nobody{}); !ok || err != nil {
			b.Fatal(ok, err)
		}
	}
}

type nobody struct{}

func (nobody) handleRequest([]byte, []byte, requestTerms, int64, bool, []byte, []byte, []byte, []byte) {
}
func (nobody) handlePing()               {}
func (nobody) handleMalformed(err error) { panic(err) }
