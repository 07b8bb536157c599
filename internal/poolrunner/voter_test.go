package poolrunner

import (
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravensill/internal/config"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// unusedAddress returns a loopback address whose port is free for both TCP and UDP.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// landedLedger is the ledger that the folder testdata/landed-6d43e16 holds, which the program at 6d43e16 wrote: a
// snapshot, and batches in the log after it.
const landedLedger = `{"Capacity":40,"Serial":5,"Entries":[` +
	`{"Life":77,"Number":5,"Units":25,"Stranded":0},{"Life":88,"Number":2,"Units":8,"Stranded":0}],"Reserve":3,"Floor":2}`

// A voter's folder of an earlier release is opened as it was left: what was lent counts as lent.
func TestVoterOpensFolderOfEarlierRelease(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "voter")
	err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "landed-6d43e16")))
	if err != nil {
		t.Fatal(err)
	}
	address := unusedAddress(t)
	voter, err := StartVoter(sockets.Kernel{}, &config.Pool{
		Terms: pool.Terms{
			Members:        2,
			Floor:          2,
			Reserve:        3,
			Lease:          time.Minute,
			Drain:          time.Minute,
			ReportInterval: time.Second,
		},
		Voters:          []netip.AddrPort{address},
		VoterStreams:    []netip.AddrPort{address},
		Listen:          address,
		Dir:             dir,
		Key:             []byte("0123456789abcdef"),
		ElectionTimeout: 200 * time.Millisecond,
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer voter.Close()
	deadline := time.Now().Add(waitTimeout)
	for voter.replica.Barrier(proposeTimeout) != nil {
		if time.Now().After(deadline) {
			t.Fatal("the voter does not lead")
		}
		time.Sleep(pollInterval)
	}
	ledger, err := voter.replica.Propose([]byte("{}"), proposeTimeout).Wait()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(ledger)
	if err != nil || string(text) != landedLedger {
		t.Errorf("the ledger is %s, %v; want %s", text, err, landedLedger)
	}
}
