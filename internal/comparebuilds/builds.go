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

// The paths are relative to a checkout's root.
const (
	deployFile   = "deploy/balancer.toml"
	adapterFile  = "bin/benchlink" // the adapter for the simulators, made by the build line
	givenFolder  = "../given"      // the folder that the operators supply, with their kit in it
	buildTimeout = 5 * time.Minute
)

// checkout is a source tree that is built, in a directory of its own.
type checkout struct{ dir string }

// commandError reports a command that failed, with its output.
type commandError struct {
	command string
	output  string
	err     error
}

func (e *commandError) Error() string {
	return fmt.Sprintf("%s: %v\n%s", e.command, e.err, strings.TrimSpace(e.output))
}
func (e *commandError) Unwrap() error { return e.err }

// run runs a command in dir, with env added to the environment, and returns its standard output. If the command fails,
// the error is a *commandError.
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

// git runs git in dir and returns its standard output without surrounding space.
func git(ctx context.Context, dir string, args ...string) (string, error) {
	output, err := run(ctx, dir, nil, "git", args...)
	return strings.TrimSpace(output), err
}

// buildBase clones the repository into dir, checks out the commit there and builds it.
func buildBase(ctx context.Context, repo, dir, commit string) (checkout, error) {
	id, err := git(ctx, repo, "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return checkout{}, fmt.Errorf("commit %q not found: %w", commit, err)
	}
	if err := clone(ctx, repo, dir, id); err != nil {
		return checkout{}, err
	}
	return build(ctx, dir)
}

// buildPresent clones the repository into dir, replaces the clone's files with those of the working tree, and builds
// it.
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

// presentTree stores the working tree as a git tree object and returns the object's id. It stages the files in a copy
// of the index, kept at indexFile, so that the repository's index does not change.
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

// copyIndex copies git's index and keeps the index's modification time. Git takes a file whose size and times are those
// in the index as unchanged, unless the file is at least as new as the index: then it compares the content. If the copy
// were newer, git would miss a change that keeps the file's size and is made in the same second as the last "git add".
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

// clone clones the repository into dir, sharing its objects, and checks out the commit.
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

// build runs the build line of the deploy file in dir, which holds a checkout.
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

// buildLine returns a deploy file's build line: the command that builds the checkout.
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

// useBuilt returns the checkout in dir, which was built before. If commit is not empty, the checkout must be at it.
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
			return checkout{}, fmt.Errorf("checkout %s is at commit %s, but %s is commit %s", dir, found, commit, wanted)
		}
	}
	return built(dir)
}

// built returns the checkout in dir after checking that it has what the simulators need.
func built(dir string) (checkout, error) {
	for _, needed := range []string{adapterFile, givenFolder} {
		if _, err := os.Stat(filepath.Join(dir, needed)); err != nil {
			return checkout{}, fmt.Errorf("checkout %s lacks a file that the simulators need: %w", dir, err)
		}
	}
	return checkout{dir}, nil
}
