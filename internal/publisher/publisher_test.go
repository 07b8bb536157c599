package publisher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"ravensill/configsync"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
)

var eventually = publishertest.Eventually

// refusedChanges are requests for changes that are answered by an error.
var refusedChanges = []struct {
	method  string
	path    string
	body    string
	ifMatch string
	want    string
}{
	{
		method: "PUT",
		path:   "/v1/configuration",
		body:   `{"plan":[]}`,
		want:   `400 {"error":"json: unknown field \"plan\""}`,
	},
	{
		method: "PUT",
		path:   "/v1/configuration",
		body:   `{`,
		want:   `400 {"error":"unexpected EOF"}`,
	},
	{
		method: "PUT",
		path:   "/v1/configuration",
		body:   `{}`,
		want:   `400 {"error":"plans/: the last quota plan can't be removed"}`,
	},
	{
		method: "PUT",
		path:   "/v1/configuration",
		body:   `{"plans":[{"rate":1}]}`,
		want:   `400 {"error":"plans.0.name: missing"}`,
	},
	{
		method: "PUT",
		path:   "/v1/configuration",
		body:   `{"plans":[{"name":"a"},{"name":"a"}]}`,
		want:   `400 {"error":"plans.1.name: \"a\" is given twice"}`,
	},
	{
		method: "PUT",
		path:   "/v1/configuration",
		body:   `{"profiles":[7]}`,
		want:   `400 {"error":"profiles.0: not an object with a name"}`,
	},
	{
		method: "PATCH",
		path:   "/v1/configuration",
		body:   `{"set":{"plans/gold":{"name":"gold","rates":1}}}`,
		want:   `400 {"error":"plans/gold: rates: unknown key"}`,
	},
	{
		method: "PATCH",
		path:   "/v1/configuration",
		body:   `{"set":{"plan/gold":{}}}`,
		want:   `400 {"error":"\"plan/gold\": unknown kind of resource"}`,
	},
	{
		method: "PATCH",
		path:   "/v1/configuration",
		body:   `{"set":{"limits":{}},"remove":["limits"]}`,
		want:   `400 {"error":"remove.0: \"limits\" is given twice"}`,
	},
	{
		method:  "PATCH",
		path:    "/v1/configuration",
		body:    `{"remove":["limits"]}`,
		ifMatch: `"7"`,
		want:    `412 {"error":"based on version 7, the current one is 1"}`,
	},
	{
		method:  "PATCH",
		path:    "/v1/configuration",
		body:    `{"remove":["limits"]}`,
		ifMatch: `x`,
		want:    `400 {"error":"If-Match: not a version"}`,
	},
	{
		method: "POST",
		path:   "/v1/rollback",
		body:   `{}`,
		want:   `400 {"error":"to: missing"}`,
	},
	{
		method: "POST",
		path:   "/v1/rollback",
		body:   `{"to":9}`,
		want:   `410 {"error":"to: version 9 is not in the history, which holds 0 to 1"}`,
	},
}

// Any replica accepts a change, names the key at fault of a bad one, honours If-Match, and rolls back by a new version.
func TestReplicaPublishesAndRefusesChanges(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	first := g.PublishInitialContent()
	if first.Version != 1 || first.Changes != 4 {
		t.Errorf("%+v", first)
	}
	g.WaitReplicated(first)
	for i := range g.Replicas {
		again := g.Publish(i, "PUT", "/v1/configuration", strings.ReplaceAll(publishertest.InitialContent, ":", ": "))
		if again.Version != 1 || again.Changes != 0 || again.Digest != first.Digest {
			t.Errorf("the same content: %+v", again)
		}
	}
	leader := g.WaitForLeader()
	follower := (leader + 1) % 3
	for _, test := range refusedChanges {
		status, answer := g.Request(follower, test.method, test.path, test.body, test.ifMatch)
		got := fmt.Sprintf("%d %s", status, strings.TrimSpace(answer))
		if got != test.want {
			t.Errorf("%s %s: %s, want %s", test.method, test.body, got, test.want)
		}
	}
	g.WaitReplicated(first)
	second := g.PublishRate(follower, "gold", 99)
	status, answer := g.Request(follower, "PATCH", "/v1/configuration", `{"remove":["limits"]}`, `"1"`)
	if status != http.StatusPreconditionFailed {
		t.Errorf("a change for version 1: %d %s", status, answer)
	}
	back := g.Publish(follower, "POST", "/v1/rollback", `{"to":1}`)
	if second.Version != 2 || back.Version != 3 || back.Digest != first.Digest {
		t.Errorf("%+v, then back %+v", second, back)
	}
	g.WaitReplicated(back)
	status, answer = g.Request(follower, "GET", "/v1/configuration", "", "")
	if status != http.StatusOK || !strings.Contains(answer, `"plans/gold":{"name":"gold","rate":10,"burst":5}`) {
		t.Errorf("%d %s", status, answer)
	}
}

// Concurrent publications at all replicas become one version each.
func TestConcurrentPublicationsAreOrdered(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.PublishInitialContent()
	const each = 5
	var publishing sync.WaitGroup
	for i := range g.Replicas {
		publishing.Go(func() {
			for k := range each {
				g.PublishRate(i, fmt.Sprintf("p%d-%d", i, k), 7)
			}
		})
	}
	publishing.Wait()
	status := g.Replicas[0].Status()
	eventually(t, "all versions", func() bool {
		status = g.Replicas[0].Status()
		return status.Version == 1+3*each
	})
	g.WaitReplicated(publisher.Publication{Log: status.Log, Version: status.Version, Digest: status.Digest})
}

// The group goes on without its leader, which catches up after its return. A minority publishes nothing and is not
// current.
func TestGroupSurvivesLossOfLeader(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.PublishInitialContent()
	lost := g.WaitForLeader()
	g.Close(lost)
	last := publisher.Publication{}
	for rate := range 12 { // beyond the log entries kept, so that a snapshot is wanted
		last = g.PublishRate((lost+1)%3, "gold", 100+rate)
	}
	g.Open(lost)
	g.WaitReplicated(last)
	leader := g.WaitForLeader()
	minority := (leader + 1) % 3
	f := follow(t, g, minority, &configsync.Hello{Protocol: configsync.Protocol})
	eventually(t, "a current replica", func() bool { return f.heartbeat().HasQuorum })
	g.Close(leader)
	g.Close(3 - leader - minority)
	eventually(t, "heartbeats without a quorum", func() bool { return !f.heartbeat().HasQuorum })
	status, answer := g.Request(minority, "PATCH", "/v1/configuration", `{"remove":["limits"]}`, "")
	if status != http.StatusServiceUnavailable {
		t.Errorf("a minority: %d %s", status, answer)
	}
	g.Open(leader)
	g.WaitReplicated(g.PublishRate(minority, "gold", 7))
}

// A replica that starts has an earlier state until a leader reports what is committed. Until then it sends no version
// of that state, and doesn't disconnect followers of a later one.
func TestReplicaSendsNoVersionDuringReplay(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.WaitReplicated(g.PublishInitialContent())
	err := g.Replicas[0].TakeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	last := g.PublishRate(0, "gold", 99)
	g.WaitReplicated(last)
	for i := range g.Replicas {
		g.Close(i)
	}
	g.Open(0)
	if version := g.Replicas[0].Status().Version; version != 1 {
		t.Fatalf("the snapshot holds version %d", version)
	}
	empty := follow(t, g, 0, hello(1))
	later := hello(2)
	later.Log = last.Log
	later.InForce = last.Version
	ahead := follow(t, g, 0, later)
	for range 2 {
		for _, f := range []*follower{empty, ahead} {
			message := f.next()
			heartbeat, ok := message.(*configsync.Heartbeat)
			if !ok || heartbeat.Latest != 0 || heartbeat.HasQuorum {
				t.Fatalf("%T %+v", message, message)
			}
		}
	}
	g.Open(1)
	g.Open(2)
	version, _ := empty.version()
	if version != last.Version {
		t.Errorf("version %d comes first, the latest is %d", version, last.Version)
	}
}
