package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravensill/internal/publishertest"
)

// runMain is an environment variable. If it is set, the test program runs as the publisher.
const runMain = "RAVENSILL_PUBLISHER_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a publisher of one replica.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	lines   *bufio.Scanner
	started []string // match of the publisher_started line: index, admin address, version
}

func start(t *testing.T, file string) *process {
	p := &process{t: t, cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), runMain+"=1", "PUBLISHER_CONFIG="+file)
	output, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	p.lines = bufio.NewScanner(output)
	p.started = p.line(`event=publisher_started index=(\d+) .*admin_listen=(\S+) version=(\d+)`)
	return p
}

// line reads the log up to a line that matches a pattern, and returns the match.
func (p *process) line(pattern string) []string {
	p.t.Helper()
	for p.lines.Scan() {
		if match := regexp.MustCompile(pattern).FindStringSubmatch(p.lines.Text()); match != nil {
			return match
		}
	}
	p.t.Fatalf("no line %q", pattern)
	return nil
}

func (p *process) stop() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.line("event=stopped")
	if err := p.cmd.Wait(); err != nil {
		p.t.Error(err)
	}
}

// publisherSettings are the settings of a publisher's replica.
type publisherSettings struct {
	Index          int      `json:"index"`
	Listen         string   `json:"listen"`
	RaftListen     string   `json:"raft_listen"`
	RaftAddresses  []string `json:"raft"`
	AdminListen    string   `json:"admin_listen"`
	AdminAddresses []string `json:"admin"`
	Directory      string   `json:"dir"`
	Key            string   `json:"key"`
	ElectionMS     int      `json:"election_ms"`
}

// defaultSettings returns the text of the settings of a publisher's only replica.
func defaultSettings(t *testing.T) []byte {
	text, err := json.Marshal(publisherSettings{
		Listen:         "127.0.0.1:0",
		RaftListen:     "127.0.0.1:0",
		RaftAddresses:  []string{"127.0.0.1:1"},
		AdminListen:    "127.0.0.1:0",
		AdminAddresses: []string{"127.0.0.1:1"},
		Directory:      t.TempDir(),
		Key:            strings.Repeat("0f", 16),
		ElectionMS:     200,
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text []byte) string {
	file := filepath.Join(t.TempDir(), "publisher.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestPublisherKeepsVersionsAfterSIGTERM restarts a publisher: its version is the one before the stop.
func TestPublisherKeepsVersionsAfterSIGTERM(t *testing.T) {
	file := writeSettings(t, defaultSettings(t))
	p := start(t, file)
	p.line("event=publisher_leader_changed leader=true")
	url := "http://" + p.started[2] + "/v1/configuration"
	request, err := http.NewRequest("PUT", url, strings.NewReader(publishertest.InitialContent))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%d %s, %v", response.StatusCode, text, err)
	}
	p.line("event=configuration_published version=1 changes=4")
	p.stop()
	p = start(t, file)
	p.line("event=publisher_leader_changed leader=true")
	publishertest.Eventually(t, "the version before the restart", func() bool {
		response, err := http.Get("http://" + p.started[2] + "/v1/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var status struct{ Version int }
		return json.NewDecoder(response.Body).Decode(&status) == nil && status.Version == 1
	})
	p.stop()
}

// TestPublisherRefusesUnknownKey checks that a publisher with an unknown key in its settings exits with the code
// for bad settings and names the key.
func TestPublisherRefusesUnknownKey(t *testing.T) {
	bad := append([]byte(`{"adress":"",`), defaultSettings(t)[len("{"):]...)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runMain+"=1", "PUBLISHER_CONFIG="+writeSettings(t, bad))
	cmd.WaitDelay = time.Minute
	output, _ := cmd.CombinedOutput()
	code := cmd.ProcessState.ExitCode()
	if code != exitBadSettings || !strings.Contains(string(output), `unknown field \"adress\"`) {
		t.Errorf("exit %d: %s", code, output)
	}
}
