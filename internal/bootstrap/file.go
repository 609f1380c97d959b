package bootstrap

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

const bytesPerMebibyte = 1 << 20

// launchFile is the launch file in its published form.
type launchFile struct {
	Seed      string          `json:"Seed"` // hexadecimal
	Discovery string          `json:"Discovery"`
	Operator  string          `json:"Operator"`
	Limits    machineLimits   `json:"Limits"`
	Known     *discovery.List `json:"Known"`
	Peers     Fleet           `json:"Peers"`
	Settings  map[string]any  `json:"Settings"`
}

type machineLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
}

// Parse parses a launch file. It leaves Name, Listen and HotRestartDir empty: those are in variables. The discovery
// address is in the file if it has one, rather than in its variable: a file may be replaced while the program runs.
func Parse(text []byte) (Config, error) {
	var file launchFile
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&file); err != nil {
		return Config{}, err
	}
	seed, err := file.check()
	if err != nil {
		return Config{}, err
	}
	values := map[string]string{}
	flatten(values, "", file.Settings)
	deployment, err := settings.Read(values, seed)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := checkSettings(deployment, values, file.Peers); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return Config{
		Discovery:    file.Discovery,
		AdminAddress: file.Operator,
		Settings:     deployment,
		Known:        *file.Known,
		Limits: Limits{
			Cores:   file.Limits.Cores,
			Memory:  int64(file.Limits.MemoryMB * bytesPerMebibyte),
			Sockets: file.Limits.Sockets,
		},
		Fleet: file.Peers,
	}, nil
}

// check checks all but the settings, and returns the seed.
func (f *launchFile) check() (seed uint64, err error) {
	if f.Known == nil || f.Settings == nil {
		return 0, errors.New("known or settings: missing")
	}
	seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: no hex number: %q", f.Seed)
	}
	if !(f.Limits.Cores > 0) || !(f.Limits.MemoryMB > 0) || f.Limits.Sockets <= 0 {
		return 0, errors.New("limits: missing, or not above 0")
	}
	if f.Discovery != "" {
		if err := checkAddress(f.Discovery); err != nil {
			return 0, fmt.Errorf("discovery: %w", err)
		}
	}
	if f.Operator != "" {
		if err := checkAddress(f.Operator); err != nil {
			return 0, fmt.Errorf("operator: %w", err)
		}
	}
	return seed, nil
}

// flatten adds nested values by their key, in the form that settings.Read takes.
func flatten(values map[string]string, key string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			flatten(values, strings.TrimPrefix(key+"."+name, "."), inner)
		}
	case []any:
		flattenList(values, key, value)
	case nil:
	default:
		values[key] = fmt.Sprint(value)
	}
}

// flattenList adds the list's length, its plain values with commas between them, and its other values by their index.
func flattenList(values map[string]string, key string, list []any) {
	var plain []string
	for i, inner := range list {
		switch inner.(type) {
		case map[string]any, []any:
			flatten(values, fmt.Sprintf("%s.%d", key, i), inner)
		default:
			plain = append(plain, fmt.Sprint(inner))
		}
	}
	values[key+".count"] = strconv.Itoa(len(list))
	values[key] = strings.Join(plain, ",")
}
