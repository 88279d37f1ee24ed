package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/standin"
)

// runProgram runs the program with words and gives what it prints and exits with.
func runProgram(t *testing.T, input string, words ...string) (string, int) {
	cmd := exec.Command(os.Args[0], words...)
	cmd.Env = append(os.Environ(), asProgramVariable+"=1")
	cmd.Stdin = strings.NewReader(input)
	out, err := cmd.CombinedOutput()
	if err != nil {
		require.IsType(t, &exec.ExitError{}, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func TestCommandsExitWithDocumentedCodes(t *testing.T) {
	for words, want := range map[string]struct {
		text string
		code int
	}{"--help": {"Available Commands", 0}, "version": {"pitchfield", 0}, "hash": {"no password", 2}, "nonsense": {"no word", 2},
		"check nowhere.toml": {"nowhere.toml", 2}, "run --colour": {"colour", 2}, "run --log-level loud": {"loud", 2},
		"check ../../deploy/pitchfield.toml": {"PITCHFIELD_ENGINE_PASSWORD", 2}, "experiment nowhere.toml": {"nowhere.toml", 2},
		"status 127.0.0.1:1": {"refused", 1}, "try --batches 1": {"at least", 2}} {
		out, code := runProgram(t, "", strings.Fields(words)...)
		assert.Equal(t, want.code, code, "%s: %s", words, out)
		assert.Contains(t, out, want.text, words)
	}
	out, code := runProgram(t, "secret\n", "hash")
	assert.Zero(t, code)
	assert.Regexp(t, `^\$2a\$10\$.{53}\n$`, out)
}

func TestTryShowsEveryPairing(t *testing.T) {
	out, code := runProgram(t, "", "try", "--batches", "120")
	require.Zero(t, code, out)
	for _, line := range []string{`frames +resp +\d+ `, `frames +tds +\d+ `, `tds +resp +\d+ `, `tds +tds +\d+ `} {
		assert.Regexp(t, line, out)
	}
}

// restartWithSettings starts the program with settings of our own beside the platform's.
func (p *program) restartWithSettings(text string) string {
	path := filepath.Join(p.t.TempDir(), "own.toml")
	require.NoError(p.t, os.WriteFile(path, []byte(text), 0o600))
	p.arguments = []string{"run", "--settings", path}
	p.Process.Kill()
	p.Wait()
	p.start()
	return path
}

func freeAddress(t *testing.T) string {
	e := newEngine(t, nil)
	address := e.Addr().String()
	e.Close()
	return address
}

func TestTheStatusPageTellsTheLevelAndItsReason(t *testing.T) {
	p := startNewProgram(t, newEngine(t, nil))
	listen := freeAddress(t)
	p.restartWithSettings("[status]\nlisten = \"" + listen + "\"\n[levels]\nhold = \"none\"\n[[level]]\nname = \"none\"\nexit = [{measure = \"served\", above = 2}]\nkeep = {lookup = 0}\n")
	var out string
	require.Eventually(t, func() bool {
		var code int
		out, code = runProgram(t, "", "status", listen)
		return code == 0 && regexp.MustCompile(`level +none`).MatchString(out)
	}, waitTimeout, 50*time.Millisecond)
	assert.Regexp(t, `reason +held by the operator`, out)
	c := p.client()
	require.NoError(t, c.SendBatch(1, "lookup", "00000000000000f1", requestTimeout, "SELECT 1"))
	a := p.answers(c, 1)[1]
	assert.Equal(t, []any{uint8(11), "500"}, []any{a.Code, a.Fields["w"]}, "shed at once, with the time to come back")
}

func TestABadFileOfOurOwnStopsTheStartAndChangesNothingLater(t *testing.T) {
	p := startNewProgram(t, newEngine(t, nil))
	listen := freeAddress(t)
	good := "[tds]\nlisten = \"" + listen + "\"\n[[tds.login]]\nuser = \"ann\"\nhash = \"$2a$04$Vp0Yz4Yb6zkY9tD6Xh4tiOJ5vJr2l7bG7T0w9Xv8nC3JwKq0b8m3W\"\n[default]\ngroup = \"lookup\"\n"
	path := p.restartWithSettings(good)
	_, err := standin.DialTDS(listen, "ann", "wrong", "", waitTimeout)
	assert.ErrorContains(t, err, "Login failed")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, "lookup", "lockup", 1)), 0o600))
	out, code := runProgram(t, "", "run", "--settings", path)
	assert.Equal(t, 1, code, "RELAY_CONFIG is not there either: %s", out)
	cmd := exec.Command(os.Args[0], "run", "--settings", path)
	cmd.Env = append(os.Environ(), asProgramVariable+"=1", "RELAY_CONFIG="+p.path)
	told, err := cmd.CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(told), `no service group "lockup"`)
}

func TestTheStatusPageTellsWhichFileCountsAndWhyALaterOneDoesNot(t *testing.T) {
	p := startNewProgram(t, newEngine(t, nil))
	listen := freeAddress(t)
	good := "[status]\nlisten = \"" + listen + "\"\n"
	path := p.restartWithSettings(good)
	eventually := func(says, never string) {
		require.Eventually(t, func() bool {
			out, code := runProgram(t, "", "status", listen)
			return code == 0 && strings.Contains(out, says) && !strings.Contains(out, never)
		}, waitTimeout, 50*time.Millisecond, says)
	}
	eventually(path+", read ", "refused")
	for _, next := range []struct{ text, says, never string }{
		{good + "[[route]]\nname = \"r\"\ndispatches = 4\n", "refused at ", "never"},
		{good + "[[route]]\nname = \"r\"\ndispatches = 4\n", path + `:3: route "r": rule 2: 4 dispatches`, "never"},
		{good, path + ", read ", "refused"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(next.text), 0o600))
		require.NoError(t, p.Process.Signal(syscall.SIGHUP))
		eventually(next.says, next.never)
	}
}

// What needs no platform is found without one, and the last line says what could not be.
func TestCheckSaysWhatItCouldNotCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.toml")
	for text, want := range map[string]struct {
		says string
		code int
	}{
		"[[route]]\nname = \"r\"\ndispatches = 4\n":             {"rule 2: 4 dispatches", 2},
		"[[route]]\ndispatches = 2\n":                           {"needs a name", 2},
		"[[budget]]\nname = \"b\"\nshare = 99.0\n":              {"share from 0 to 1", 2},
		"[[budget]]\nname = \"b\"\nshare = \"10%\"\n":           {`a number is wanted, not "10%"`, 2},
		"[[route]]\nname = \"r\"\n[[route]]\nname = \"s\"\n":    {"as exact as", 2},
		"[[route]]\nname = \"r\"\ngroup = \"anything there\"\n": {"without --platform nobody knows the groups", 0},
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		out, code := runProgram(t, "", "check", path)
		assert.Equal(t, want.code, code, text)
		assert.Contains(t, out, want.says, text)
	}
}
