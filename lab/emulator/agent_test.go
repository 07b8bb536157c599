package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

// agentTrace calls the agents of a test and collects what they answer.
type agentTrace struct {
	agent *Agent
	ctx   context.Context
	watch *bufio.Reader
	text  strings.Builder
}

// shortEntry leaves out the fields of an entry that no test sets.
var shortEntry = strings.NewReplacer(`,"addr":"127.0.0.1:1","zone":"","kind":"","cell":0`, "",
	`,"weight":0,"started_ms":0`, "")

// open calls a gateway's agent and returns the answer's body.
func (a *agentTrace) open(gateway int, query string) io.Reader {
	url := "http://" + a.agent.Addr(gateway) + listPath + query
	request, _ := http.NewRequestWithContext(a.ctx, http.MethodGet, url, nil)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return strings.NewReader("broken")
	}
	return answer.Body
}

// list adds the answer to a call for a single list.
func (a *agentTrace) list(name string, gateway int) {
	body, err := io.ReadAll(a.open(gateway, ""))
	fmt.Fprintf(&a.text, "%s: %s", name, shortEntry.Replace(string(body)))
	if err != nil {
		fmt.Fprint(&a.text, " ", err, "\n")
	}
}

// nextChange adds the next line of the watch that is no keep-alive.
func (a *agentTrace) nextChange() {
	for {
		line, err := a.watch.ReadString('\n')
		if err != nil {
			fmt.Fprint(&a.text, "watch: ", err, "\n")
			return
		}
		if line != "\n" {
			a.text.WriteString("watch: " + shortEntry.Replace(line))
			return
		}
	}
}

// Watches and single lists of two gateways follow the changes that their agents have received, in each mode.
func TestAgentAnswersByItsMode(t *testing.T) {
	entry := func(id, state string) HostEntry { return HostEntry{ID: id, Addr: "127.0.0.1:1", State: state} }
	agent, err := NewAgent(110, 2, entry("x", Active))
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	trace := &agentTrace{agent: agent, ctx: ctx}
	trace.watch = bufio.NewReader(trace.open(0, "?watch=1&after=1"))
	trace.list("plain", 0)
	agent.Push(entry("y", Active))
	trace.nextChange()
	agent.PushTo([]int{1}, entry("z", Active))
	trace.list("0 after one for 1", 0)
	trace.list("1", 1)
	agent.SetMode([]int{0}, func(mode *AgentMode) { mode.Frozen = true })
	agent.Push(entry("x", Leaving))
	agent.Push(entry("x", Left), entry("y", Leaving))
	trace.list("0 frozen", 0)
	agent.SetMode([]int{0}, func(mode *AgentMode) { mode.Frozen = false })
	trace.nextChange()
	agent.SetMode(nil, func(mode *AgentMode) { mode.Indented = true })
	trace.list("indented", 1)
	agent.SetMode(nil, func(mode *AgentMode) { *mode = AgentMode{SentFraction: 0.5} })
	trace.list("a part", 1)
	agent.SetMode(nil, func(mode *AgentMode) { *mode = AgentMode{ChunkSize: 7} })
	trace.list("in chunks", 1)
	agent.SetMode(nil, func(mode *AgentMode) { *mode = AgentMode{Down: true} })
	trace.nextChange()
	trace.list("down", 1)
	golden.Check(t, trace.text.String())
}
