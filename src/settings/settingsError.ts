/** Everything wrong with a settings file: one line a mistake, each with the setting's path, its value and the reason. */
export class SettingsError extends Error {}
