package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// From a checkout's root.
const (
	deployFile   = "deploy/balancer.toml"
	adapterFile  = "bin/benchlink" // what the build line makes for the simulator
	givenFolder  = "../given"
	buildTimeout = 5 * time.Minute
)

// checkout is a tree that is built, in a directory of its own.
type checkout struct{ dir string }

// commandError is a command that ended badly.
type commandError struct {
	command string
	printed string
	err     error
}

func (e *commandError) Error() string {
	return fmt.Sprintf("%s: %v\n%s", e.command, e.err, strings.TrimSpace(e.printed))
}
func (e *commandError) Unwrap() error { return e.err }

// run runs a command in dir and returns what it printed to its standard output.
func run(ctx context.Context, dir string, env []string, name string, args ...string) (string, error) {
	var stdout, stderr strings.Builder
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir, cmd.Env = dir, append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	killWithChildren(cmd)
	if err := cmd.Run(); err != nil {
		command := strings.Join(append([]string{name}, args...), " ")
		return "", &commandError{command, stderr.String() + stdout.String(), err}
	}
	return stdout.String(), nil
}

func git(ctx context.Context, dir string, args ...string) (string, error) {
	printed, err := run(ctx, dir, nil, "git", args...)
	return strings.TrimSpace(printed), err
}

// buildBase clones the repository into dir, checks the commit out there and builds it.
func buildBase(ctx context.Context, repo, dir, commit string) (checkout, error) {
	id, err := git(ctx, repo, "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return checkout{}, fmt.Errorf("no commit is called %s: %w", commit, err)
	}
	if err := clone(ctx, repo, dir, id); err != nil {
		return checkout{}, err
	}
	return build(ctx, dir)
}

// buildPresent clones the repository into dir, makes the clone's files those of the present tree, and builds it.
func buildPresent(ctx context.Context, repo, dir string) (checkout, error) {
	tree, err := presentTree(ctx, repo, dir+".index")
	if err != nil {
		return checkout{}, err
	}
	if err := clone(ctx, repo, dir, "HEAD"); err != nil {
		return checkout{}, err
	}
	if _, err := git(ctx, dir, "read-tree", "--reset", "-u", tree); err != nil {
		return checkout{}, err
	}
	return build(ctx, dir)
}

// presentTree writes the working tree to git's objects and returns its name. It works on a copy of the index, kept at
// indexFile, so what is staged stays as it is.
func presentTree(ctx context.Context, repo, indexFile string) (string, error) {
	path, err := git(ctx, repo, "rev-parse", "--path-format=absolute", "--git-path", "index")
	if err != nil {
		return "", err
	}
	if err := copyIndex(path, indexFile); err != nil {
		return "", err
	}
	env := []string{"GIT_INDEX_FILE=" + indexFile}
	if _, err := run(ctx, repo, env, "git", "add", "--all"); err != nil {
		return "", err
	}
	tree, err := run(ctx, repo, env, "git", "write-tree")
	return strings.TrimSpace(tree), err
}

// copyIndex copies git's index with its time of modification: git takes a file that is no older than the index to be
// changed until it has compared the content.
func copyIndex(from, to string) error {
	info, err := os.Stat(from)
	if err != nil {
		return err
	}
	index, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if err := os.WriteFile(to, index, 0o600); err != nil {
		return err
	}
	return os.Chtimes(to, info.ModTime(), info.ModTime())
}

// clone makes a clone in dir that shares the repository's objects, at a commit.
func clone(ctx context.Context, repo, dir, commit string) error {
	id, err := git(ctx, repo, "rev-parse", commit)
	if err != nil {
		return err
	}
	if _, err := git(ctx, repo, "clone", "--quiet", "--shared", "--no-checkout", repo, dir); err != nil {
		return err
	}
	_, err = git(ctx, dir, "checkout", "--quiet", "--detach", id)
	return err
}

// build runs the build line of the checkout's own deploy file.
func build(ctx context.Context, dir string) (checkout, error) {
	text, err := os.ReadFile(filepath.Join(dir, deployFile))
	if err != nil {
		return checkout{}, err
	}
	line, err := buildLine(text)
	if err != nil {
		return checkout{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, buildTimeout)
	defer cancel()
	if _, err := run(ctx, dir, nil, "sh", "-c", line); err != nil {
		return checkout{}, fmt.Errorf("building in %s: %w", dir, err)
	}
	return built(dir)
}

var errNoBuildLine = errors.New(deployFile + " has no build line")

// buildLine is the command that a deploy file builds with.
func buildLine(deploy []byte) (string, error) {
	var file struct {
		Build string `toml:"build"`
	}
	if err := toml.Unmarshal(deploy, &file); err != nil {
		return "", fmt.Errorf("%s: %w", deployFile, err)
	}
	if file.Build == "" {
		return "", errNoBuildLine
	}
	return file.Build, nil
}

// useBuilt takes a checkout that was built before. Where a commit is given too, the checkout must be at it.
func useBuilt(ctx context.Context, repo, dir, commit string) (checkout, error) {
	if commit != "" {
		wanted, err := git(ctx, repo, "rev-parse", commit)
		if err != nil {
			return checkout{}, err
		}
		found, err := git(ctx, dir, "rev-parse", "HEAD")
		if err != nil {
			return checkout{}, err
		}
		if found != wanted {
			return checkout{}, fmt.Errorf("%s is at commit %s, and %s is %s", dir, found, commit, wanted)
		}
	}
	return built(dir)
}

// built is the checkout in dir, which must have what plays need.
func built(dir string) (checkout, error) {
	for _, need := range []string{adapterFile, givenFolder} {
		if _, err := os.Stat(filepath.Join(dir, need)); err != nil {
			return checkout{}, fmt.Errorf("%s is not built to be played: %w", dir, err)
		}
	}
	return checkout{dir}, nil
}
