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

// runAsPublisher is the environment variable that makes this test binary run the publisher's main instead of the tests.
const runAsPublisher = "RAVENSILL_PUBLISHER_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsPublisher) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// publisherProcess is a running publisher that has one replica.
type publisherProcess struct {
	t       *testing.T
	cmd     *exec.Cmd
	lines   *bufio.Scanner
	started []string // match of the log line publisher_started: the whole text, index, admin address and version
}

func start(t *testing.T, file string) *publisherProcess {
	p := &publisherProcess{t: t, cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), runAsPublisher+"=1", "PUBLISHER_CONFIG="+file)
	output, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	p.lines = bufio.NewScanner(output)
	p.started = p.waitForLog(`event=publisher_started index=(\d+) .*admin_listen=(\S+) version=(\d+)`)
	return p
}

// waitForLog reads the log up to a line that matches a pattern, and returns the match with its groups.
func (p *publisherProcess) waitForLog(pattern string) []string {
	p.t.Helper()
	for p.lines.Scan() {
		if match := regexp.MustCompile(pattern).FindStringSubmatch(p.lines.Text()); match != nil {
			return match
		}
	}
	p.t.Fatalf("the log ended without a line that matches %q", pattern)
	return nil
}

func (p *publisherProcess) stop() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForLog("event=stopped")
	if err := p.cmd.Wait(); err != nil {
		p.t.Error(err)
	}
}

// publisherSettings is the settings file of a publisher's replica.
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

// defaultSettings returns the settings of a publisher with one replica. Its ports are free ones.
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

// TestPublisherKeepsVersionsAfterSIGTERM guards against the loss of a published version at a restart of the publisher.
func TestPublisherKeepsVersionsAfterSIGTERM(t *testing.T) {
	file := writeSettings(t, defaultSettings(t))
	p := start(t, file)
	p.waitForLog("event=publisher_leader_changed leader=true")
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
		t.Fatalf("PUT /v1/configuration: status %d, answer %s, error %v", response.StatusCode, text, err)
	}
	p.waitForLog("event=configuration_published version=1 changes=4")
	p.stop()
	p = start(t, file)
	p.waitForLog("event=publisher_leader_changed leader=true")
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

// TestPublisherRefusesUnknownKey guards against misspelled settings that are ignored: a publisher with an unknown key
// in its settings must exit with status 2 and name the key.
func TestPublisherRefusesUnknownKey(t *testing.T) {
	settings := append([]byte(`{"adress":"",`), defaultSettings(t)[len("{"):]...)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsPublisher+"=1", "PUBLISHER_CONFIG="+writeSettings(t, settings))
	cmd.WaitDelay = time.Minute
	output, _ := cmd.CombinedOutput()
	code := cmd.ProcessState.ExitCode()
	if code != exitInvalidSettings || !strings.Contains(string(output), `unknown field \"adress\"`) {
		t.Errorf("exit status %d; output, which must name the key adress: %s", code, output)
	}
}
