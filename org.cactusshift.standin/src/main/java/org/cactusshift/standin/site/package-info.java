/** Stand-ins for the platform of a site, with the subset of its documented interfaces that tests need. */
package org.cactusshift.standin.site;
