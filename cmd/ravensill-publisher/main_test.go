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

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, settings map[string]any) string {
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "publisher.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func settings(t *testing.T) map[string]any {
	return map[string]any{
		"index":        0,
		"listen":       "127.0.0.1:0",
		"raft_listen":  "127.0.0.1:0",
		"raft":         []string{"127.0.0.1:1"},
		"admin_listen": "127.0.0.1:0",
		"admin":        []string{"127.0.0.1:1"},
		"dir":          t.TempDir(),
		"key":          strings.Repeat("0f", 16),
		"election_ms":  200,
	}
}

// A publisher keeps its versions through a stop by SIGTERM.
func TestPublisherKeepsVersionsAfterSIGTERM(t *testing.T) {
	file := writeSettings(t, settings(t))
	p := start(t, file)
	p.line("event=publisher_leader_changed leader=true")
	url := "http://" + p.started[2] + "/v1/configuration"
	request, err := http.NewRequest("PUT", url, strings.NewReader(publishertest.FirstContent))
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

// A publisher with an unknown key in its settings exits with the code for bad settings and names the key.
func TestPublisherRefusesUnknownKey(t *testing.T) {
	bad := settings(t)
	bad["adress"] = ""
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runMain+"=1", "PUBLISHER_CONFIG="+writeSettings(t, bad))
	cmd.WaitDelay = time.Minute
	output, _ := cmd.CombinedOutput()
	code := cmd.ProcessState.ExitCode()
	if code != exitBadSettings || !strings.Contains(string(output), `unknown field \"adress\"`) {
		t.Errorf("exit %d: %s", code, output)
	}
}
