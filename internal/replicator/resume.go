package replicator

// Resume lets this VM become holder again after ReleaseAll, when a planned stop
// was called off.
func (manager *Manager) Resume() {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.retired = false
	for _, running := range manager.groups {
		running.group.resume()
	}
}

func (group *Group) resume() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.retired = false
	group.wake()
}
