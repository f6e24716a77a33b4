package upstreamer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// putGrant handles PUT /cuminstream/grant.
func (upstream *Upstream) putGrant(writer http.ResponseWriter, request *http.Request) {
	upstream.waitWhileFrozen()
	var grant Grant
	if err := json.NewDecoder(request.Body).Decode(&grant); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if !upstream.settings.ChecksGrants {
		http.Error(writer, "this upstream does not check grants", http.StatusNotFound)
		return
	}
	if reason := upstream.applyGrant(grant); reason != "" {
		writer.Header().Set("Cuminstream-Refusal", reason)
		upstream.writeStatus(writer, http.StatusConflict)
		return
	}
	upstream.writeStatus(writer, http.StatusOK)
}

// applyGrant replaces or renews the current grant. It returns the reason if the
// grant is refused, otherwise "".
func (upstream *Upstream) applyGrant(grant Grant) string {
	current := upstream.grant
	sameGroup := current != nil && current.Group == grant.Group
	if sameGroup && (grant.Term < current.Term || grant.Term == current.Term && grant.Seq < current.Seq) {
		return "fenced"
	}
	if grant.Renew && (!sameGroup || grant.Term != current.Term || grant.Seq != current.Seq) {
		return "unknown"
	}
	remaining := grant.TTL - (upstream.timestamp() - grant.Timestamp)
	if grant.Timestamp <= 0 || remaining <= 0 {
		return "late"
	}
	if expiry := upstream.clock.Now().Add(time.Duration(remaining) * time.Millisecond); !grant.Renew || expiry.After(upstream.expiry) {
		upstream.expiry = expiry
	}
	if grant.Renew {
		return ""
	}
	grant.shardSet, grant.keySet, grant.withoutKeySet = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, shard := range grant.Shards {
		grant.shardSet[strconv.FormatUint(uint64(shard), 10)] = true
	}
	for _, key := range grant.Keys {
		grant.keySet[key] = true
	}
	for _, key := range grant.WithoutKeys {
		grant.withoutKeySet[key] = true
	}
	upstream.grant = &grant
	return ""
}

// checkGrant returns the reason why the current grant does not cover the request,
// or "" if it does or if this upstream does not check grants.
func (upstream *Upstream) checkGrant(request *http.Request) string {
	if !upstream.settings.ChecksGrants {
		return ""
	}
	grant := upstream.grant
	if grant == nil || request.Header.Get("Cuminstream-Group") != grant.Group {
		return "no grant of this group"
	}
	if term, err := strconv.ParseUint(request.Header.Get("Cuminstream-Term"), 10, 64); err != nil || term != grant.Term {
		return fmt.Sprintf("term %d differs from the grant's term %d", term, grant.Term)
	}
	if !upstream.clock.Now().Before(upstream.expiry) {
		return "the grant has expired"
	}
	key := requestKey(request)
	if grant.keySet[key] || grant.shardSet[request.Header.Get("Cuminstream-Shard")] && !grant.withoutKeySet[key] {
		return ""
	}
	return "the shard is not granted"
}

// getGrant handles GET /cuminstream/grant.
func (upstream *Upstream) getGrant(writer http.ResponseWriter, _ *http.Request) {
	upstream.waitWhileFrozen()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.writeStatusWithGrant(writer, http.StatusOK, upstream.grant)
}

// getHealth handles /cuminstream/health.
func (upstream *Upstream) getHealth(writer http.ResponseWriter, _ *http.Request) {
	upstream.waitWhileFrozen()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	status := http.StatusOK
	if upstream.behavior.HealthStatus != 0 {
		status = upstream.behavior.HealthStatus
	}
	upstream.writeStatus(writer, status)
}

// writeStatus writes a StatusResponse without a grant. The mutex must be held.
func (upstream *Upstream) writeStatus(writer http.ResponseWriter, status int) {
	upstream.writeStatusWithGrant(writer, status, nil)
}

// writeStatusWithGrant writes a StatusResponse. The mutex must be held.
func (upstream *Upstream) writeStatusWithGrant(writer http.ResponseWriter, status int, grant *Grant) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(StatusResponse{
		Grant: grant, Timestamp: upstream.timestamp(), Instance: upstream.instance,
		Draining: upstream.behavior.Draining, Running: upstream.listRunning(),
	})
}

// listRunning returns the running requests that have an ID, each with the time
// that is left until its deadline.
func (upstream *Upstream) listRunning() []RunningRequest {
	var runs []RunningRequest
	for _, run := range upstream.inFlight {
		run.Left = max(run.deadline.Sub(upstream.clock.Now()).Milliseconds(), 0)
		runs = append(runs, run)
	}
	return runs
}

// loadSample is the number of running requests at one point in time.
type loadSample struct {
	at      time.Time
	running int
}

// maxLoadSamples limits the load history. The older half is dropped when it is
// full.
const maxLoadSamples = 4096

// sampleLoad adds the current number of running requests to the load history.
func (upstream *Upstream) sampleLoad() {
	if len(upstream.loadSamples) >= maxLoadSamples {
		upstream.loadSamples = append([]loadSample(nil), upstream.loadSamples[maxLoadSamples/2:]...)
	}
	upstream.loadSamples = append(upstream.loadSamples, loadSample{upstream.clock.Now(), upstream.running})
}

// getLoad handles /cuminstream/load. It reports the running requests per slot as
// they were LoadLagMillis ago, multiplied by LoadFactor.
func (upstream *Upstream) getLoad(writer http.ResponseWriter, _ *http.Request) {
	upstream.waitWhileFrozen()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	cutoff := upstream.clock.Now().Add(-time.Duration(upstream.behavior.LoadLagMillis) * time.Millisecond)
	running := 0
	for _, sample := range upstream.loadSamples {
		if !sample.at.After(cutoff) {
			running = sample.running
		}
	}
	load := float64(running) / float64(upstream.settings.Slots)
	if upstream.behavior.LoadFactor > 0 {
		load *= upstream.behavior.LoadFactor
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]float64{"load": load})
}
