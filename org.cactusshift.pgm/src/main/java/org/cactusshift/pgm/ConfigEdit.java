package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** An edit of the current configuration, which is retried after a conflict with another change. */
@FunctionalInterface
interface ConfigEdit {
    /** The maximum number of attempts before the command fails. */
    int MAXIMUM_ATTEMPTS = 5;

    /** Returns the edited configuration. */
    SiteConfig edit(SiteConfig current) throws CactusshiftException;

    /** Applies the edit, retrying after conflicts, and returns the version that contains it. */
    default long applyWithRetry(StoreSession session, CommandLine line, String comment) throws CactusshiftException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            VersionedConfig current = session.readCurrent();
            SiteConfig changed = ConfigLoader.create().validate("current configuration", edit(current.config()));
            ApplyResult result = StoreSession.getOrThrow(session.newApplyCommand(line, comment)
                    .setConfig(changed)
                    .setBaseVersion(current.version())
                    .call());
            if (result.outcome() != ApplyResult.Outcome.CONFLICT) {
                return result.version();
            }
        }
        throw new CactusshiftException(Failure.noEffect(
                "apply configuration",
                "key-value store",
                "conflicted with other changes " + MAXIMUM_ATTEMPTS + " times; nothing was changed"));
    }
}
