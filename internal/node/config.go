// Package node is the sender on real sockets: it accepts messages from clients, keeps them in a journal, and lets a
// logic.Sender decide what is sent where and when. It makes no decisions about messages itself.
package node

// The configuration: the file and the environment variables that the platform sets.

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/wire"
	"crossdeal/logic"
)

// Limits are the resource limits that the platform sets for the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// maxListBytes returns the size limit of an answer of discovery, an eighth of the memory: while it is read, its
// content is held two more times.
func (l Limits) maxListBytes() int64 {
	return max(int64(l.MemoryMB*(1<<20)/8), discovery.MinAnswerLimitBytes)
}

// diskMarginBytes is kept free: files are counted in whole blocks, and the platform ends a sender that exceeds its disk
// limit.
const diskMarginBytes = 16 << 10

// diskBytes returns the disk limit of the platform; 0 if it sets none.
func (l Limits) diskBytes() int64 { return int64(l.DiskMB * 1e6) }

// listStoreBytes returns the size limit of the saved list on disk. It leaves space for the two files that the journal
// has during a rewrite. Files may count as memory, so the limit is at most the size of two of the longest lists.
func (l Limits) listStoreBytes() int64 {
	limit := 2 * l.maxListBytes()
	if disk := l.diskBytes(); disk > 0 {
		limit = min(limit, disk-2*journalFileLimit(disk)-diskMarginBytes)
	}
	return max(limit, 0)
}

// Config is the configuration of a sender, which the platform sets at its start.
type Config struct {
	Name          string
	ListenAddr    string
	DiscoveryAddr string
	OperatorAddr  string // where operators are served; empty for nowhere
	StateDir      string
	Seed          uint64
	Limits        Limits
	KnownList     discovery.List
	Deployment    wire.Deployment
	ClassIndexes  map[string]int
	TenantIndexes map[string]int
	Warnings      []string // invalid values, and what is used instead
}

// readConfig reads the configuration file, whose path is in the environment.
func readConfig() (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read config: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	return cfg, nil
}

// LoadDiscoveryAddr reads the address of discovery again. It uses the file only, since the environment does not change
// after the start.
func LoadDiscoveryAddr() (string, error) {
	cfg, err := readConfig()
	if err != nil {
		return "", err
	}
	if cfg.DiscoveryAddr == "" {
		return "", errors.New("the configuration has no discovery address")
	}
	return cfg.DiscoveryAddr, nil
}

// LoadConfig reads the configuration file and the environment, whose values take precedence.
func LoadConfig() (*Config, error) {
	cfg, err := readConfig()
	if err != nil {
		return nil, err
	}
	cfg.StateDir = os.Getenv("BALANCER_STATE")
	for name, field := range map[string]*string{"BALANCER_NAME": &cfg.Name, "BALANCER_LISTEN": &cfg.ListenAddr,
		"BALANCER_DISCOVERY": &cfg.DiscoveryAddr, "BALANCER_OPERATOR": &cfg.OperatorAddr} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	if cfg.StateDir == "" || cfg.ListenAddr == "" || cfg.DiscoveryAddr == "" {
		return nil, errors.New("BALANCER_STATE, BALANCER_LISTEN and BALANCER_DISCOVERY must be set")
	}
	return cfg, nil
}

// ParseConfig parses the text of the configuration file. Invalid values are replaced and listed in Warnings.
func ParseConfig(text []byte) (*Config, error) {
	var raw struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Operator  string          `json:"operator"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	deployment, err := wire.ParseDeployment(raw.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Config{Name: raw.Name, ListenAddr: raw.Listen, DiscoveryAddr: raw.Discovery, OperatorAddr: raw.Operator, Limits: raw.Limits,
		Deployment: deployment, ClassIndexes: map[string]int{}, TenantIndexes: map[string]int{}}
	if deployment.InvalidValues != nil {
		cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("settings: %v; treated as missing", deployment.InvalidValues))
	}
	cfg.Warnings = append(cfg.Warnings, cfg.Deployment.Settings.ReplaceInvalid()...)
	if t := &cfg.Deployment.ConnectTimeout; *t <= 0 || *t > logic.Micros(time.Minute.Microseconds()) {
		cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("settings: invalid connect timeout of %d us; using 1 s", *t))
		*t = logic.Second
	}
	if len(raw.Known) > 0 {
		if err := json.Unmarshal(raw.Known, &cfg.KnownList); err != nil {
			cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("known list: %v; starting without one", err))
			cfg.KnownList = discovery.List{}
		}
	}
	if cfg.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		// Senders without a seed must not act in lockstep; they differ in name, address and start time.
		h := fnv.New64a()
		fmt.Fprintln(h, raw.Name, raw.Listen, time.Now().UnixNano())
		cfg.Seed = h.Sum64()
		cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("seed: %v; using a generated one", err))
	}
	for i, c := range deployment.Settings.Classes {
		cfg.ClassIndexes[c.Name] = i
	}
	for i, t := range deployment.Settings.Tenants {
		cfg.TenantIndexes[t.Name] = i
	}
	return cfg, nil
}
