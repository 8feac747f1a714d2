/** Summaries of the service that client accounts receive, exchanged between nodes in heartbeats. */
package org.cactusshift.internal.state.summary;
