/** Running totals of the tokens served to client accounts, exchanged between nodes in heartbeats. */
package org.cactusshift.internal.state.summary;
