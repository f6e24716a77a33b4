package replicator

// Resume allows this VM to become holder again after ReleaseAll. It is called when
// a planned stop is canceled.
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
