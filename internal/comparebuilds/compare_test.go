package main

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDifferingNamesEveryFigureThatDiffers(t *testing.T) {
	const same = `{"g": 0.9235, "events": 7, "breaks": {}, "classes": [{"a": 0.5, "b": 1}],
		"happenings": ["x", "y"], "cpu": 1,
		"trace_hash": "6d15", "policy_events": 5, "requests": 3, "fault": null, "tenants": []}`
	for name, c := range map[string]struct {
		old, new string // replaced in the second report
		differ   []string
	}{
		"same":               {"", "", nil},
		"other time":         {`"cpu": 1`, `"cpu": 2.5`, nil},
		"other layout":       {`, "events": 7`, ",\n  \"events\":7", nil},
		"last digit of g":    {"0.9235", "0.92350000000000001", []string{"g"}},
		"one class":          {`"b": 1`, `"b": 0.99`, []string{"classes"}},
		"a rule broken":      {`"breaks": {}`, `"breaks": {"drain": 1}`, []string{"breaks"}},
		"another action":     {"6d15", "6d16", []string{"trace_hash"}},
		"adapter at fault":   {`"fault": null`, `"fault": "crash"`, []string{"fault"}},
		"order of happening": {`"x", "y"`, `"y", "x"`, []string{"happenings"}},
		"two":                {`0.9235, "events": 7`, `0.9236, "events": 8`, []string{"g", "events"}},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := readReport([]byte(same))
			require.NoError(t, err)
			changed := same
			if c.old != "" {
				require.Contains(t, same, c.old)
				changed = strings.Replace(same, c.old, c.new, 1)
			}
			b, err := readReport([]byte(changed))
			require.NoError(t, err)
			assert.Equal(t, c.differ, differing(a, b))
			assert.Equal(t, c.differ, differing(b, a))
		})
	}
}

func TestReportWithoutAFigureIsRefused(t *testing.T) {
	for _, left := range compared {
		report := map[string]int{}
		for _, name := range compared {
			report[name] = 1
		}
		delete(report, left)
		printed, err := json.Marshal(report)
		require.NoError(t, err)
		_, err = readReport(printed)
		var missing missingFigureError
		require.ErrorAs(t, err, &missing)
		assert.Equal(t, missingFigureError(left), missing)
	}
	_, err := readReport([]byte("no day"))
	assert.ErrorContains(t, err, "reading the play's report")
}

func TestBuildLine(t *testing.T) {
	line, err := buildLine([]byte("build = \"go build ./...\"   # once\nsim = \"exec x\"\npolicy = [\"a\"]\n"))
	require.NoError(t, err)
	assert.Equal(t, "go build ./...", line)
	_, err = buildLine([]byte("sim = \"exec x\"\n"))
	assert.ErrorIs(t, err, errNoBuildLine)
	_, err = buildLine([]byte("build = \n"))
	assert.ErrorContains(t, err, deployFile)
}

// fixture is a temporary directory with a repository and, beside it, the operators' folder with a script in place of
// the simulators. The script prints as g what the build wrote to the adapter file, fails if that is "broken", and
// writes a journal entry.
type fixture struct {
	t          *testing.T
	root, repo string
}

const fakeSimulator = `#!/bin/sh
g=$(cat bin/benchlink)
[ "$g" != broken ] || { echo "the adapter broke" >&2; exit 3; }
mkdir -p journal/blobs; echo entry > "journal/$$-$g.json"; echo blob > journal/blobs/one
echo "{\"g\": $g, \"events\": 1, \"breaks\": {}, \"classes\": [], \"happenings\": [\"$2 $4 $6\"], \"cpu\": $$, \
  \"trace_hash\": \"6d15\", \"policy_events\": 5, \"requests\": 3, \"fault\": null, \"tenants\": []}"
`

func newFixture(t *testing.T) fixture {
	t.Helper()
	root := t.TempDir()
	s := fixture{t, root, filepath.Join(root, "lockloom")}
	for _, simulator := range simulators {
		s.write(filepath.Join("given/kit", simulator.program), fakeSimulator)
		for _, name := range []string{"one.toml", "two.toml"} {
			s.write(filepath.Join("given/kit", simulator.sites, name), "")
		}
	}
	s.write("lockloom/deploy/balancer.toml", `build = "mkdir -p bin && cat source extra > bin/benchlink"`)
	s.write("lockloom/.gitignore", "bin/\n")
	s.write("lockloom/source", "0.5")
	s.write("lockloom/extra", "1")
	s.git("init", "--quiet")
	s.git("add", "--all")
	s.git("-c", "user.name=n", "-c", "user.email=e", "commit", "--quiet", "--message", "base")
	return s
}

func (s fixture) write(path, text string) {
	path = filepath.Join(s.root, path)
	require.NoError(s.t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o755))
}

func (s fixture) git(args ...string) string {
	cmd := exec.Command("git", args...)
	cmd.Dir = s.repo
	printed, err := cmd.CombinedOutput()
	require.NoError(s.t, err, "git %v: %s", args, printed)
	return string(printed)
}

func (s fixture) compare(o options) (printed string, err error) {
	var out strings.Builder
	o.dir = s.repo
	err = compare(s.t.Context(), o, &out)
	return out.String(), err
}

func TestCompare(t *testing.T) {
	s := newFixture(t)
	printed, err := s.compare(options{base: "HEAD"})
	require.NoError(t, err, printed)
	assert.Equal(
		t,
		12,
		strings.Count(printed, "g 0.51  same"),
		"two site files for each of two simulators, three kinds of day: %s",
		printed,
	)
	entries, err := filepath.Glob(filepath.Join(s.repo, "journal", "*.json"))
	require.NoError(t, err)
	assert.Len(t, entries, 24, "the journal entries of both builds are copied")
	assert.FileExists(t, filepath.Join(s.repo, "journal/blobs/one"))

	printed, err = s.compare(options{base: "HEAD", quick: true})
	require.NoError(t, err, printed)
	assert.Equal(t, 4, strings.Count(printed, "same"), printed)

	s.write("lockloom/extra", "2") // changed but not staged
	var different *differenceError
	printed, err = s.compare(options{base: "HEAD", quick: true})
	require.ErrorAs(t, err, &different)
	assert.Equal(t, differenceError{plays: 4, differing: 4}, *different)
	assert.Equal(t, 4, strings.Count(printed, "g 0.52 against 0.51  DIFFERENT: g\n"), printed)

	s.write("lockloom/source", "brok")
	s.write("lockloom/extra", "en")
	printed, err = s.compare(options{base: "HEAD", quick: true})
	require.ErrorAs(t, err, &different)
	assert.Equal(t, differenceError{plays: 4, failed: 4}, *different)
	assert.Equal(t, 4, strings.Count(printed, "the adapter broke"), printed)
	assert.Equal(t, " M extra\n M source\n?? journal/\n", s.git("status", "--porcelain"), "the index must not change")
}

func TestCompareBuildsWhatIsNewAndNotAdded(t *testing.T) {
	s := newFixture(t)
	s.write("lockloom/deploy/balancer.toml", `build = "mkdir -p bin && cat source added > bin/benchlink"`)
	s.write("lockloom/added", "9")
	require.NoError(t, os.Remove(filepath.Join(s.repo, "extra")))
	printed, err := s.compare(options{base: "HEAD", quick: true})
	assert.Error(t, err)
	assert.Contains(t, printed, "g 0.59 against 0.51  DIFFERENT: g\n")
}

// Guards against missing a change that keeps the file's size and is made in the same second as the last "git add". Git
// detects it only because the index is not newer than the file, so a copy must keep the index's modification time.
func TestCompareSeesAChangeInTheSecondOfTheLastAdd(t *testing.T) {
	s := newFixture(t)
	extra, index := filepath.Join(s.repo, "extra"), filepath.Join(s.repo, ".git", "index")
	added := time.Now().Add(-time.Hour).Truncate(time.Second)
	require.NoError(t, os.Chtimes(extra, added, added))
	s.git("config", "core.trustctime", "false") // a test cannot set the ctime
	s.git("add", "--all")
	s.write("lockloom/extra", "2")
	require.NoError(t, os.Chtimes(extra, added, added))
	require.NoError(t, os.Chtimes(index, added, added))
	printed, err := s.compare(options{base: "HEAD", quick: true})
	assert.Error(t, err)
	assert.Contains(t, printed, "g 0.52 against 0.51  DIFFERENT: g\n")
}

func TestCompareWithABuiltBase(t *testing.T) {
	s := newFixture(t)
	dir := filepath.Join(s.root, "before")
	s.git("clone", "--quiet", ".", dir)
	_, err := s.compare(options{baseDir: dir})
	assert.ErrorIs(t, err, os.ErrNotExist, "the checkout is not built")
	s.write("before/bin/benchlink", "0.4")
	printed, err := s.compare(options{baseDir: dir, base: "HEAD", quick: true})
	assert.Error(t, err)
	assert.Contains(t, printed, "g 0.51 against 0.4  DIFFERENT: g\n")
	s.git("-c", "user.name=n", "-c", "user.email=e", "commit", "--quiet", "--allow-empty", "--message", "next")
	_, err = s.compare(options{baseDir: dir, base: "HEAD", quick: true})
	assert.ErrorContains(t, err, "is at commit")
}

func TestCompareSaysWhatItLacks(t *testing.T) {
	s := newFixture(t)
	_, err := s.compare(options{})
	assert.ErrorIs(t, err, errNoBase)
	_, err = s.compare(options{base: "nothing"})
	assert.ErrorContains(t, err, `commit "nothing" not found`)
	require.NoError(t, os.RemoveAll(filepath.Join(s.root, "given/kit")))
	_, err = s.compare(options{base: "HEAD"})
	assert.ErrorIs(t, err, errNoKit)
}

func TestCommandOverItsTimeEndsWithItsChildren(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_, err := run(ctx, t.TempDir(), nil, "sh", "-c", "sleep 60 & wait")
	var failed *commandError
	require.ErrorAs(t, err, &failed)
	assert.Less(t, time.Since(begin), killDelay, "the child, which keeps the output open, must be killed too")
}
